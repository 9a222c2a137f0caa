use crate::ParseError;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

const MAX_ID_LENGTH: usize = 128;

macro_rules! text_id {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(String);

        impl $name {
            /// The identifier as text.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.pad(&self.0)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                check_id(stringify!($name), text)?;
                Ok(Self(text.to_owned()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = ParseError;

            fn try_from(text: String) -> Result<Self, ParseError> {
                check_id(stringify!($name), &text)?;
                Ok(Self(text))
            }
        }

        impl From<$name> for String {
            fn from(id: $name) -> String {
                id.0
            }
        }
    };
}

fn check_id(kind: &'static str, text: &str) -> Result<(), ParseError> {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '_' | '-');
    if text.is_empty() || text.len() > MAX_ID_LENGTH || !text.chars().all(allowed) {
        return Err(ParseError::Identifier {
            kind,
            text: text.chars().take(MAX_ID_LENGTH).collect(),
        });
    }
    Ok(())
}

text_id!(
    /// Names a data centre.
    DataCentreId
);
text_id!(
    /// Names a rack within a data centre.
    RackId
);
text_id!(
    /// Names a machine, on which successive workers run.
    MachineId
);
text_id!(
    /// Names a worker; unique over all data centres.
    WorkerId
);
text_id!(
    /// Names an organisation.
    OrganisationId
);
text_id!(
    /// Names a service whose runners answer requests.
    ServiceId
);
text_id!(
    /// Names a runner: an upstream that answers requests of one service.
    RunnerId
);
text_id!(
    /// Names a job within its organisation.
    JobId
);
text_id!(
    /// Names a job queue.
    QueueId
);
text_id!(
    /// Names one task of a gang on one worker.
    TaskId
);
text_id!(
    /// Names an entry instance.
    InstanceId
);
text_id!(
    /// A caller's key that makes a non-idempotent request run at most once.
    IdempotencyKey
);
text_id!(
    /// A random value that identifies one write, so that the writer can recognise it later.
    Nonce
);
