use crate::ParseError;
use serde::{Deserialize, Serialize};
use std::{fmt, str::FromStr};

macro_rules! number {
    ($(#[$doc:meta])* $name:ident, $inner:ty) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(&self.0, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseError;

            fn from_str(text: &str) -> Result<Self, ParseError> {
                text.parse().map(Self).map_err(|_| ParseError::Number {
                    kind: stringify!($name),
                    text: text.to_owned(),
                })
            }
        }
    };
}

number!(
    /// An amount of data in bytes.
    Bytes, u64
);
number!(
    /// A data rate in bytes a second.
    BytesPerSecond, u64
);
number!(
    /// A request rate in requests a second.
    RequestsPerSecond, u32
);
number!(
    /// A number of processor cores.
    Cores, u32
);
number!(
    /// A number of requests that may run at once.
    Slots, u32
);
number!(
    /// An organisation's relative share; a larger weight earns more.
    Weight, u32
);
number!(
    /// A share in hundredths; more than 100 counts as 100.
    Percent, u8
);
number!(
    /// The position of an accelerator in its worker, from 0.
    AcceleratorIndex, u16
);
number!(
    /// An operator's number for a change ticket.
    TicketNumber, u64
);
number!(
    /// A revision of the configuration; grows by one with each accepted ticket.
    Revision, u64
);
number!(
    /// The epoch of a scheduler lease; grows with each new holder.
    Epoch, u64
);
number!(
    /// Distinguishes successive lives of an instance that keeps its name.
    Incarnation, u64
);

impl Revision {
    /// The revision that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl Epoch {
    /// The epoch that follows this one.
    #[must_use]
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}
