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
    /// A data rate in bytes per second.
    BytesPerSecond, u64
);
number!(
    /// A request rate in requests per second.
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
    /// An organisation's relative share; a larger weight gets a larger share.
    Weight, u32
);
number!(
    /// A percentage; values above 100 count as 100.
    Percent, u8
);
number!(
    /// The position of an accelerator in its worker, from 0.
    AcceleratorIndex, u16
);
number!(
    /// The number that an operator gives a change ticket.
    TicketNumber, u64
);
number!(
    /// A revision of the configuration; increases by one with each accepted ticket.
    Revision, u64
);
number!(
    /// The epoch of a scheduler lease; increases with each new holder.
    Epoch, u64
);
number!(
    /// Distinguishes successive processes that run under the same instance name; later ones have higher values.
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
