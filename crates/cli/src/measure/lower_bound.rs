use sesamedeal_core::moves::DayDemand;

/// Gain of meeting a size by one instance. It exceeds the moves of a whole day, so that the
/// cheapest flow meets all sizes that can be met.
const REWARD: i64 = 1_000_000;

/// Capacity of an arc without a bound.
const MANY: i64 = 1_000_000;

#[derive(Debug)]
struct FlowArc {
    from: usize,
    to: usize,
    room: i64,
    cost: i64,
}

/// Network with one layer per step of the day: a source and a sink, then two nodes per pool and
/// one for moves in each layer.
#[derive(Debug)]
struct FlowNetwork {
    pools: usize,
    arcs: Vec<FlowArc>,
}

impl FlowNetwork {
    const fn node(&self, layer: usize, pool: usize, side: usize) -> usize {
        2 + layer * (2 * self.pools + 1) + 2 * pool + side
    }

    const fn hub(&self, layer: usize) -> usize {
        2 + layer * (2 * self.pools + 1) + 2 * self.pools
    }

    fn add(&mut self, from: usize, to: usize, room: i64, cost: i64) {
        self.arcs.push(FlowArc {
            from,
            to,
            room,
            cost,
        });
        self.arcs.push(FlowArc {
            from: to,
            to: from,
            room: 0,
            cost: -cost,
        });
    }
}

/// Lowest number of moves with which the sizes of a day can be met as far as the fleet allows,
/// found as a minimum cost flow, without the planner's rule.
pub(super) fn lowest_moves(demand: &DayDemand, counts: &[u32]) -> u64 {
    let (pools, layers) = (counts.len(), demand.steps.len());
    let arcs = Vec::new();
    let mut network = FlowNetwork { pools, arcs };
    for (at, &count) in counts.iter().enumerate() {
        let start = network.node(layers, at, 1);
        network.add(0, start, i64::from(count), 0);
    }
    let mut sizes = 0;
    for layer in 0..layers {
        let before = if layer == 0 { layers } else { layer - 1 };
        for at in 0..pools {
            let size = i64::from(demand.steps[layer].desired[at]);
            sizes += size;
            let (source, hub) = (network.node(before, at, 1), network.hub(layer));
            let (enter, leave) = (network.node(layer, at, 0), network.node(layer, at, 1));
            network.add(source, enter, MANY, 0);
            network.add(source, hub, MANY, 0);
            network.add(hub, enter, MANY, 1);
            network.add(enter, leave, size, -REWARD);
            network.add(enter, leave, MANY, 0);
        }
    }
    for at in 0..pools {
        let last = network.node(layers - 1, at, 1);
        network.add(last, 1, MANY, 0);
    }
    let nodes = network.node(layers + 1, 0, 0);
    let cost = cheapest_flow(&mut network.arcs, nodes);
    // What is left of the rewards is the reward of the sizes that cannot be met.
    let moves = (cost + REWARD * sizes).rem_euclid(REWARD);
    moves.unsigned_abs()
}

/// Cost of the cheapest flow, by successive shortest paths (Bellman-Ford).
fn cheapest_flow(arcs: &mut [FlowArc], nodes: usize) -> i64 {
    let mut cost = 0;
    loop {
        let mut best = vec![(i64::MAX, usize::MAX); nodes];
        best[0].0 = 0;
        let mut is_changed = true;
        while is_changed {
            is_changed = false;
            for (at, arc) in arcs.iter().enumerate() {
                let (from, to) = (best[arc.from].0, best[arc.to].0);
                if arc.room > 0 && from < i64::MAX && from + arc.cost < to {
                    best[arc.to] = (from + arc.cost, at);
                    is_changed = true;
                }
            }
        }
        if best[1].0 == i64::MAX {
            return cost;
        }
        let mut path = Vec::new();
        let mut at = 1;
        while at != 0 {
            path.push(best[at].1);
            at = arcs[best[at].1].from;
        }
        let amount = path.iter().map(|&arc| arcs[arc].room).min().unwrap_or(0);
        for arc in path {
            arcs[arc].room -= amount;
            arcs[arc ^ 1].room += amount;
        }
        cost += amount * best[1].0;
    }
}
