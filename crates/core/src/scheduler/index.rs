//! Small `Copy` keys into the arenas of the scheduler.

macro_rules! arena_index {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
        pub(crate) struct $name(pub(crate) u32);

        impl $name {
            /// Position in the arena.
            pub(crate) const fn at(self) -> usize {
                self.0 as usize
            }

            /// Returns the key of the entry at `position`; arenas hold far fewer than 2^32 entries.
            pub(crate) const fn with_position(position: usize) -> Self {
                #[expect(clippy::cast_possible_truncation, reason = "arenas stay below 2^32")]
                Self(position as u32)
            }
        }
    };
}

arena_index!(
    /// A team.
    TeamIndex
);
arena_index!(
    /// A pool.
    PoolIndex
);
arena_index!(
    /// A worker.
    WorkerIndex
);
arena_index!(
    /// A key of a team.
    KeyIndex
);
arena_index!(
    /// The jobs of one team in one pool.
    FlowIndex
);
