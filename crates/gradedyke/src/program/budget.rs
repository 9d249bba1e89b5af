//! What a tree of programs may still spend.
//!
//! The worst case of a call is reserved before it is sent and settled after,
//! so that calls which run beside each other cannot overspend together.

/// Tokens that a chat template may add to each message, at most.
pub const TEMPLATE_TOKENS: u64 = 16;

/// A budget in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    limit: u64,
    spent: u64,
    reserved: u64,
}

impl Budget {
    /// A budget of `limit` tokens of which `spent` are gone.
    pub fn new(limit: u64, spent: u64) -> Self {
        Self {
            limit,
            spent,
            reserved: 0,
        }
    }

    /// Tokens that are neither spent nor reserved.
    pub fn left(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.reserved)
    }

    /// Tokens spent.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Tokens that may be spent in all.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Reserves `tokens`, or says that they are not there.
    ///
    /// ```
    /// use gradedyke::program::budget::Budget;
    ///
    /// let mut budget = Budget::new(100, 0);
    /// assert!(budget.reserve(80));
    /// assert!(!budget.reserve(80));
    /// budget.settle(80, 10);
    /// assert!(budget.reserve(80));
    /// ```
    pub fn reserve(&mut self, tokens: u64) -> bool {
        let enough = tokens <= self.left();
        if enough {
            self.reserved += tokens;
        }
        enough
    }

    /// Gives `reserved` back and takes what was spent of it.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += spent;
    }
}
