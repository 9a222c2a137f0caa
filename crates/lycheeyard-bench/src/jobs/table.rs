use super::{Comparison, Measures, Planner, SizeClass};
use std::fmt::Write;

/// Formats comparisons as text, with one block per trace.
#[must_use]
pub fn format_table(comparisons: &[Comparison]) -> String {
    let mut text = String::new();
    for comparison in comparisons {
        write_comparison(&mut text, comparison);
    }
    text
}

fn write_comparison(text: &mut String, comparison: &Comparison) {
    let Comparison {
        deployment,
        scale,
        seed,
        bound,
        planners,
        ..
    } = comparison;
    write_line(
        text,
        format_args!(
            "{deployment} {scale} seed {seed}: bound mean {:.2} h, large p95 {:.2} h, utilisation {:.3}",
            hours(bound.mean_completion_s),
            hours(bound.large_p95_s),
            bound.utilisation
        ),
    );
    write_line(
        text,
        format_args!(
            "  planner   mean-h  p95-h small-h medium-h large-h large-p95-h  frag  idle  util/b \
             waste  fair  window reclaims max-s urgent max-s own round-ms max"
        ),
    );
    for (planner, measures) in planners {
        write_row(text, *planner, measures, measures.utilisation_of(bound));
    }
    let Some(policy) = planners.get(&Planner::Policy) else {
        return;
    };
    for (planner, other) in planners.iter().filter(|(p, _)| **p != Planner::Policy) {
        write_line(
            text,
            format_args!(
                "  policy/{planner}: mean {:.3}, large p95 {:.3}, fragmentation {:.3}",
                policy.completion.mean_s / other.completion.mean_s,
                large_p95_s(policy) / large_p95_s(other),
                policy.fragmentation / other.fragmentation
            ),
        );
    }
}

fn write_row(text: &mut String, planner: Planner, measures: &Measures, utilisation_ratio: f64) {
    let by_class = |class| measures.by_size.get(&class).copied().unwrap_or_default();
    write_line(
        text,
        format_args!(
            "  {planner:9} {:6.2} {:6.2} {:7.2} {:8.2} {:7.2} {:11.2} {:5.3} {:5.3} {utilisation_ratio:7.3} \
             {:5.3} {:5.3} {:7.3} {:8} {:5.1} {:6} {:5.1} {:3} {:8.2} {:3.0}",
            hours(measures.completion.mean_s),
            hours(measures.completion.p95_s),
            hours(by_class(SizeClass::Small).mean_s),
            hours(by_class(SizeClass::Medium).mean_s),
            hours(by_class(SizeClass::Large).mean_s),
            hours(by_class(SizeClass::Large).p95_s),
            measures.fragmentation,
            measures.idle_while_waiting,
            measures.wasted,
            measures.fairness,
            measures.within_window,
            measures.reclaims,
            measures.reclaim_max_s,
            measures.urgent,
            measures.urgent_max_s,
            measures.urgent_behind_own,
            measures.round_mean_ms,
            measures.round_max_ms,
        ),
    );
}

fn large_p95_s(measures: &Measures) -> f64 {
    let large = measures.by_size.get(&SizeClass::Large);
    large.map_or(0.0, |large| large.p95_s)
}

fn hours(seconds: f64) -> f64 {
    seconds / 3_600.0
}

fn write_line(text: &mut String, args: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = writeln!(text, "{args}");
}
