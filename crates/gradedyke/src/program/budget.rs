//! The token budget of a tree of programs.
//!
//! The most tokens that a call can spend are reserved before it is sent, and the
//! reservation is settled afterwards, so that concurrent calls together cannot
//! exceed the budget.

/// Maximum number of tokens that a chat template adds to a message.
pub const MAX_TEMPLATE_TOKENS: u64 = 16;

/// A token budget.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Budget {
    limit: u64,
    spent: u64,
    reserved: u64,
}

impl Budget {
    /// Creates a budget of `limit` tokens of which `spent` have been spent.
    pub fn new(limit: u64, spent: u64) -> Self {
        Self {
            limit,
            spent,
            reserved: 0,
        }
    }

    /// Returns the tokens that are neither spent nor reserved.
    pub fn available(&self) -> u64 {
        self.limit.saturating_sub(self.spent + self.reserved)
    }

    /// Returns the tokens spent.
    pub fn spent(&self) -> u64 {
        self.spent
    }

    /// Returns the total number of tokens that may be spent.
    pub fn limit(&self) -> u64 {
        self.limit
    }

    /// Reserves `tokens`. Returns false, and reserves nothing, if fewer are available.
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
        let fits = tokens <= self.available();
        if fits {
            self.reserved += tokens;
        }
        fits
    }

    /// Releases `reserved` tokens and adds `spent` to the tokens spent.
    pub fn settle(&mut self, reserved: u64, spent: u64) {
        self.reserved = self.reserved.saturating_sub(reserved);
        self.spent += spent;
    }
}
