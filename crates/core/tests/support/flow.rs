//! Reference solution for the move planner: minimum cost flow.

use sesamedeal_core::moves::DayDemand;

/// Arc of the flow network.
struct Arc {
    from: usize,
    to: usize,
    capacity: i64,
    cost: i64,
}

/// Minimum number of moves, computed independently of the planner as a minimum cost flow of
/// instances through a network with one layer per step. Each instance of a desired pool size has a
/// cost of `-REWARD`, so that the cheapest flow meets all sizes that can be met.
pub fn lowest_moves(demand: &DayDemand, counts: &[u32]) -> i64 {
    const REWARD: i64 = 1_000_000;
    let pools = counts.len();
    let layers = demand.steps.len();
    // Node numbers: 0 source, 1 sink, then per layer 2 nodes per pool and one for moves.
    let node =
        |layer: usize, pool: usize, side: usize| 2 + layer * (2 * pools + 1) + 2 * pool + side;
    let hub = |layer: usize| 2 + layer * (2 * pools + 1) + 2 * pools;
    let mut arcs = Vec::new();
    let mut add = |from, to, capacity, cost| {
        arcs.push(Arc {
            from,
            to,
            capacity,
            cost,
        });
        arcs.push(Arc {
            from: to,
            to: from,
            capacity: 0,
            cost: -cost,
        });
    };
    let unlimited = 1_000_000;
    let start = layers;
    for (at, &count) in counts.iter().enumerate() {
        add(0, node(start, at, 1), i64::from(count), 0);
    }
    for layer in 0..layers {
        let before = if layer == 0 { start } else { layer - 1 };
        for at in 0..pools {
            add(node(before, at, 1), node(layer, at, 0), unlimited, 0);
            add(node(before, at, 1), hub(layer), unlimited, 0);
            add(hub(layer), node(layer, at, 0), unlimited, 1);
            let size = i64::from(demand.steps[layer].desired[at]);
            add(node(layer, at, 0), node(layer, at, 1), size, -REWARD);
            add(node(layer, at, 0), node(layer, at, 1), unlimited, 0);
        }
    }
    for at in 0..pools {
        add(node(layers - 1, at, 1), 1, unlimited, 0);
    }
    let (cost, _) = cheapest_flow(&mut arcs, 2 + (layers + 1) * (2 * pools + 1));
    let sizes: u32 = demand.steps.iter().flat_map(|step| &step.desired).sum();
    cost + REWARD * i64::from(sizes)
}

/// Minimum cost flow by successive shortest paths, found with the Bellman-Ford algorithm. The
/// network has no cycle at the start, hence none of negative cost. Returns the cost and the flow.
fn cheapest_flow(arcs: &mut [Arc], nodes: usize) -> (i64, i64) {
    let (mut cost, mut flow) = (0, 0);
    loop {
        let mut best = vec![(i64::MAX, usize::MAX); nodes];
        best[0].0 = 0;
        let mut changed = true;
        while changed {
            changed = false;
            for (at, arc) in arcs.iter().enumerate() {
                let (from, to) = (best[arc.from].0, best[arc.to].0);
                if arc.capacity > 0 && from < i64::MAX && from + arc.cost < to {
                    best[arc.to] = (from + arc.cost, at);
                    changed = true;
                }
            }
        }
        if best[1].0 == i64::MAX {
            return (cost, flow);
        }
        let mut path = Vec::new();
        let mut at = 1;
        while at != 0 {
            path.push(best[at].1);
            at = arcs[best[at].1].from;
        }
        let amount = path.iter().map(|&arc| arcs[arc].capacity).min().unwrap();
        for arc in path {
            arcs[arc].capacity -= amount;
            arcs[arc ^ 1].capacity += amount;
        }
        cost += amount * best[1].0;
        flow += amount;
    }
}
