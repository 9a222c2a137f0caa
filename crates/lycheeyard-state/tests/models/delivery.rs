use proptest::prelude::{Just, Strategy, prop_oneof};

/// How the store handles one call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Delivery {
    /// The call takes effect and is answered.
    Answer,
    /// The call takes effect, but its answer is lost.
    LoseAnswer,
    /// The call gets no answer and may take effect later.
    Delay,
    /// The call takes effect and is answered; a copy of it may take effect later.
    Duplicate,
    /// The call is lost before it reaches the store.
    Drop,
    /// The call is rejected before it takes effect.
    Reject,
}

/// Random deliveries: mostly answered calls, and every kind of fault.
pub fn deliveries() -> impl Strategy<Value = Delivery> {
    prop_oneof![
        16 => Just(Delivery::Answer),
        3 => Just(Delivery::LoseAnswer),
        3 => Just(Delivery::Delay),
        1 => Just(Delivery::Duplicate),
        2 => Just(Delivery::Drop),
        1 => Just(Delivery::Reject),
    ]
}
