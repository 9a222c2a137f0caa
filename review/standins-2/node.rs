//! The project's program, started as a process of its own with the command of the deploy file.

use crate::{http, json::Json};
use std::{
    fs::{self, File},
    net::{SocketAddr, TcpListener},
    path::Path,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

const PROGRAM: &str = "target/release/lycheeyard-node";

/// What all nodes of a deployment share.
pub struct Deployment<'a> {
    pub advisor: SocketAddr,
    pub store: SocketAddr,
    /// A free folder for settings files and logs.
    pub folder: &'a Path,
}

pub struct Node {
    pub name: String,
    pub api: SocketAddr,
    readiness: SocketAddr,
    child: Arc<Mutex<Child>>,
}

/// The processes that were started, so that all of them can be ended.
static CHILDREN: Mutex<Vec<Arc<Mutex<Child>>>> = Mutex::new(Vec::new());

/// Ends all nodes.
pub fn end_all() {
    for child in CHILDREN
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .iter()
    {
        end(child);
    }
}

fn end(child: &Mutex<Child>) {
    let mut child = child.lock().unwrap_or_else(PoisonError::into_inner);
    let _ = child.kill();
    let _ = child.wait();
}

impl Node {
    /// Starts a node in a zone, on free ports of a loopback address, with the settings of the small deployment `ionica-sched`.
    pub fn start(deployment: &Deployment, number: usize, zone: &str) -> std::io::Result<Self> {
        let ip = format!("127.0.2.{number}");
        let ports = free_ports(&ip, 5)?;
        let [api, readiness, control, metrics, peer] = ports[..] else {
            unreachable!("as many ports were asked for");
        };
        let name = format!("frontend-{zone}-{number}");
        let path = deployment.folder.join(format!("{name}.json"));
        let settings = settings(
            &name,
            &ip,
            zone,
            [api, readiness, control, metrics, peer],
            deployment,
        );
        fs::write(&path, settings.to_string())?;
        let log = File::create(deployment.folder.join(format!("{name}.log")))?;
        let child = Command::new(PROGRAM)
            .args([
                "--metrics-port",
                &metrics.to_string(),
                "--peer-port",
                &peer.to_string(),
            ])
            .env("LYCHEEYARD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        let child = Arc::new(Mutex::new(child));
        CHILDREN
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push(Arc::clone(&child));
        let at = |port: u16| {
            format!("{ip}:{port}")
                .parse()
                .expect("a loopback address is valid")
        };
        Ok(Self {
            name,
            api: at(api),
            readiness: at(readiness),
            child,
        })
    }

    pub fn is_ready(&self) -> bool {
        let answer = http::call(
            self.readiness,
            "GET",
            "/readiness",
            &[],
            "",
            Duration::from_millis(500),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    pub fn id(&self) -> u32 {
        self.child
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .id()
    }
}

impl Drop for Node {
    fn drop(&mut self) {
        end(&self.child);
    }
}

fn free_ports(ip: &str, count: usize) -> std::io::Result<Vec<u16>> {
    let listeners: Result<Vec<_>, _> = (0..count).map(|_| TcpListener::bind((ip, 0))).collect();
    let listeners = listeners?;
    listeners
        .iter()
        .map(|listener| listener.local_addr().map(|address| address.port()))
        .collect()
}

fn settings(name: &str, ip: &str, zone: &str, ports: [u16; 5], deployment: &Deployment) -> Json {
    let [api, readiness, control, metrics, peer] = ports;
    let at = |port: u16| Json::from(format!("{ip}:{port}"));
    let number = Json::from;
    let bounds: [(&str, u64); 30] = [
        ("seedLagS", 3),
        ("reuseAfterS", 2),
        ("contactMs", 3000),
        ("ackTimeoutMs", 4000),
        ("catchUpS", 4),
        ("drainMs", 2000),
        ("graceS", 6),
        ("lossSlackMs", 200),
        ("configApplyMs", 2000),
        ("rollbackSlackMs", 250),
        ("maxStretchMs", 5000),
        ("revokeMs", 5000),
        ("recoveryS", 12),
        ("holdMaxMs", 6000),
        ("stopTimeoutMs", 900),
        ("gangTimeoutMs", 3000),
        ("cancel_ms", 3000),
        ("visible_ms", 3000),
        ("early_ms", 250),
        ("finish_s", 14),
        ("status_s", 120),
        ("farFactor", 3),
        ("restoreMs", 600),
        ("noticeMs", 4500),
        ("maintenanceS", 2),
        ("leaseMs", 3000),
        ("thawSlackMs", 300),
        ("paceMs", 100),
        ("harmMs", 4000),
        ("reclaimMs", 3400),
    ];
    let mut bounds: std::collections::BTreeMap<String, Json> = bounds
        .into_iter()
        .map(|(name, value)| (name.to_owned(), number(value)))
        .collect();
    bounds.insert("checkpointS".to_owned(), Json::Number(0.5));
    bounds.insert("moveS".to_owned(), Json::Number(1.5));
    bounds.insert("strictRevocation".to_owned(), true.into());
    bounds.insert("fencingRequired".to_owned(), true.into());
    Json::object([
        ("node", name.into()),
        ("role", "node".into()),
        ("machineClass", "frontend".into()),
        ("serves", vec!["frontend".into()].into()),
        ("ip", ip.into()),
        ("zone", zone.into()),
        ("region", "region".into()),
        (
            "listen",
            Json::object([
                ("frontend", at(api)),
                ("readiness", at(readiness)),
                ("controlPlane", at(control)),
            ]),
        ),
        (
            "internalPorts",
            vec![number(metrics.into()), number(peer.into())].into(),
        ),
        ("seeds", Vec::new().into()),
        ("bootstrap", true.into()),
        (
            "limits",
            Json::object([
                ("cpuShare", Json::Number(0.25)),
                ("cores", number(1)),
                ("memoryMb", number(260)),
                ("fileDescriptors", number(4100)),
                ("linkMbps", number(1000)),
                ("diskMb", number(0)),
            ]),
        ),
        ("dataDirectory", Json::Null),
        ("discovery", "platform".into()),
        ("entry", "virtual_ip".into()),
        ("heartbeatMs", number(1500)),
        ("bounds", Json::Object(bounds)),
        ("orders", "call".into()),
        ("advice", deployment.advisor.to_string().into()),
        (
            "platform",
            Json::object([
                ("address", deployment.store.to_string().into()),
                ("form", "kv".into()),
                ("writesPerS", number(400)),
                ("readsPerS", number(2000)),
                ("historyS", number(20)),
                ("valueBytes", number(1_048_576)),
                ("ttlMinMs", number(1000)),
            ]),
        ),
    ])
}
