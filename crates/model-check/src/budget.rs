//! How many choices a path may still take.

use crate::choices::Choice;

/// How many choices a path may still take.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Budget {
    pub faults: u8,
    pub delays: u8,
}

impl Budget {
    /// What is left after a choice.
    pub fn spend(self, choice: Choice) -> Budget {
        if choice.is_fault() {
            Budget { faults: self.faults - 1, ..self }
        } else {
            Budget { delays: self.delays - 1, ..self }
        }
    }

    pub fn is_spent(self) -> bool {
        self.faults == 0 && self.delays == 0
    }
}
