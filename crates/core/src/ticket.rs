//! Numbers by which an answer of another daemon names the question.

/// Source of tickets. No two questions of a daemon get the same ticket, whichever of its processes
/// asks them: each process starts at a random number. An answer to a question of an earlier process
/// thus matches none of this one, whatever else the other daemon's build echoes.
#[derive(Debug)]
pub struct Sequence {
    next: u64,
}

impl Sequence {
    /// Starts a sequence at a random number.
    ///
    /// ```
    /// use dotterelhoist_core::ticket::Sequence;
    ///
    /// let mut tickets = Sequence::open(u64::MAX);
    /// assert_eq!((tickets.draw(), tickets.draw()), (u64::MAX, 0));
    /// ```
    pub fn open(random: u64) -> Sequence {
        Sequence { next: random }
    }

    /// Returns the next ticket.
    pub fn draw(&mut self) -> u64 {
        let ticket = self.next;
        self.next = ticket.wrapping_add(1);
        ticket
    }
}
