/// A setting that can be given as a flag or as an environment variable.
pub(super) struct Flag {
    pub name: &'static str,
    /// The placeholder of the value in the help text.
    pub hint: &'static str,
    /// The default value; `None` if the setting is required.
    pub default: Option<&'static str>,
    pub help: &'static str,
}

/// All settings, in the order of the help text.
pub(super) const FLAGS: &[Flag] = &[
    Flag {
        name: "instance",
        hint: "NAME",
        default: None,
        help: "name of this instance",
    },
    Flag {
        name: "incarnation",
        hint: "N",
        default: Some("1"),
        help: "number that distinguishes successive processes with the same instance name",
    },
    Flag {
        name: "data-centre",
        hint: "NAME",
        default: None,
        help: "data centre that this instance is in",
    },
    Flag {
        name: "listen",
        hint: "IP:PORT",
        default: Some("127.0.0.1:7400"),
        help: "address for callers and operators",
    },
    Flag {
        name: "peer-listen",
        hint: "IP:PORT",
        default: Some("127.0.0.1:7401"),
        help: "address for calls between entry instances",
    },
    Flag {
        name: "store",
        hint: "IP:PORT",
        default: None,
        help: "address of the platform's store",
    },
    Flag {
        name: "instances",
        hint: "IP:PORT",
        default: None,
        help: "address of the platform's instance list",
    },
    Flag {
        name: "scheduler-lease-ms",
        hint: "MS",
        default: Some("3000"),
        help: "duration of a scheduler lease",
    },
    Flag {
        name: "drain-ms",
        hint: "MS",
        default: Some("5000"),
        help: "time between becoming not ready and closing the listener",
    },
    Flag {
        name: "max-connections",
        hint: "N",
        default: Some(""),
        help: "connections of callers at a time; half of the descriptors if not given",
    },
    Flag {
        name: "request-memory-mb",
        hint: "MB",
        default: Some("48"),
        help: "memory that connections and their requests may hold",
    },
    Flag {
        name: "max-head-bytes",
        hint: "BYTES",
        default: Some("65536"),
        help: "largest request line and headers together",
    },
    Flag {
        name: "head-timeout-ms",
        hint: "MS",
        default: Some("10000"),
        help: "time for the head of a request from its first byte",
    },
    Flag {
        name: "idle-timeout-ms",
        hint: "MS",
        default: Some("15000"),
        help: "time that a connection may be open without a request, or without a client that reads",
    },
    Flag {
        name: "body-timeout-ms",
        hint: "MS",
        default: Some("10000"),
        help: "time for the body of a request",
    },
    Flag {
        name: "access",
        hint: "keys|open",
        default: Some("keys"),
        help: "whether calls need a key",
    },
    Flag {
        name: "operator-key-digests",
        hint: "HEX,HEX",
        default: Some(""),
        help: "SHA-256 digests of the operators' keys",
    },
    Flag {
        name: "log-format",
        hint: "text|json",
        default: Some("text"),
        help: "format of log lines",
    },
    Flag {
        name: "log-filter",
        hint: "FILTER",
        default: Some("info"),
        help: "which log lines are written: error, warn, info, debug, trace or directives",
    },
];

/// The name of the environment variable that corresponds to a flag.
pub(super) fn variable(flag: &str) -> String {
    format!("LYCHEEYARD_{}", flag.replace('-', "_").to_uppercase())
}
