use super::task_pace::TaskPace;
use std::collections::VecDeque;

/// The maximum number of ended runs of a step that are compared with others.
const MAX_PACES: usize = 32;

/// The paces of the latest ended runs of a step.
#[derive(Clone, Debug, Default)]
pub(crate) struct StepPaces(VecDeque<TaskPace>);

impl StepPaces {
    pub fn push(&mut self, pace: TaskPace) {
        if self.0.len() == MAX_PACES {
            self.0.pop_front();
        }
        self.0.push_back(pace);
    }

    pub fn iter(&self) -> impl Iterator<Item = &TaskPace> {
        self.0.iter()
    }
}
