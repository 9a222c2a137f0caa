use proptest::prelude::{Just, Strategy, prop_oneof};

/// What becomes of one call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fate {
    /// It takes effect and is answered.
    Answer,
    /// It takes effect and its answer is lost.
    LoseAnswer,
    /// The caller gives up, and the call may take effect later.
    Delay,
    /// It takes effect, is answered, and its copy may take effect later.
    Double,
    /// It is lost on the way.
    Drop,
    /// It is refused before it takes effect.
    Refuse,
}

/// Mostly answered calls, with every fault among them.
pub fn fates() -> impl Strategy<Value = Fate> {
    prop_oneof![
        16 => Just(Fate::Answer),
        3 => Just(Fate::LoseAnswer),
        3 => Just(Fate::Delay),
        1 => Just(Fate::Double),
        2 => Just(Fate::Drop),
        1 => Just(Fate::Refuse),
    ]
}
