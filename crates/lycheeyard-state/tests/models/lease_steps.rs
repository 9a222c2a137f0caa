use crate::delivery::{Delivery, deliveries};
use proptest::prelude::{BoxedStrategy, Just, Strategy, any, prop_oneof};
use proptest_state_machine::ReferenceStateMachine;

/// The number of entry instances.
pub const INSTANCES: usize = 3;

/// One step of the lease model.
#[derive(Clone, Debug)]
pub enum Step {
    /// An instance tries to acquire or renew the lease.
    Acquire {
        instance: usize,
    },
    /// An instance performs an action that is reserved for the holder.
    Act {
        instance: usize,
    },
    Resign {
        instance: usize,
    },
    Crash {
        instance: usize,
    },
    Deliver {
        pick: usize,
        delivery: Delivery,
    },
    ApplyDelayed {
        pick: usize,
    },
    /// Time passes in which no instance takes a step, as if all were paused.
    Wait {
        millis: u64,
    },
}

/// Generates the steps. It has no state of its own.
pub struct Model;

impl ReferenceStateMachine for Model {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let instance = 0..INSTANCES;
        prop_oneof![
            6 => instance.clone().prop_map(|instance| Step::Acquire { instance }),
            4 => instance.clone().prop_map(|instance| Step::Act { instance }),
            1 => instance.clone().prop_map(|instance| Step::Resign { instance }),
            1 => instance.prop_map(|instance| Step::Crash { instance }),
            14 => (any::<usize>(), deliveries())
                .prop_map(|(pick, delivery)| Step::Deliver { pick, delivery }),
            3 => any::<usize>().prop_map(|pick| Step::ApplyDelayed { pick }),
            3 => (50..2_500_u64).prop_map(|millis| Step::Wait { millis }),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}
