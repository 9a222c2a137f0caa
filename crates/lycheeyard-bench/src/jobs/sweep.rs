use super::{
    Deployment, ExperimentError, Measures, Planner, Scale, SizeClass, experiment::simulate_seed,
    generate_trace,
};
use lycheeyard_protocol::{Percent, PolicySettings};
use std::fmt::Write;

/// Simulates today's traces with several settings of the policy and formats the means over the seeds, one line per setting.
///
/// # Errors
/// Fails when the policy violates an invariant.
pub fn sweep_settings(deployment: Deployment, seeds: &[u64]) -> Result<String, ExperimentError> {
    let base_policy = deployment.policy();
    let mut text = String::new();
    for weight in [0, 20, 70, 100] {
        let fragmentation_weight = Percent(weight);
        let policy = PolicySettings {
            fragmentation_weight,
            ..base_policy
        };
        let name = format!("fragmentation weight {weight}");
        add_row(&mut text, deployment, &name, policy, seeds)?;
    }
    let no_defragmentation = PolicySettings {
        defragmentation: false,
        ..base_policy
    };
    add_row(
        &mut text,
        deployment,
        "no defragmentation",
        no_defragmentation,
        seeds,
    )?;
    for reserve in [0, 50] {
        let slow_checkpoints = PolicySettings {
            checkpoint_grace_ms: 30_000,
            urgent_reserve: Percent(reserve),
            ..base_policy
        };
        let name = format!("grace 30 s, urgent reserve {reserve}");
        add_row(&mut text, deployment, &name, slow_checkpoints, seeds)?;
    }
    Ok(text)
}

fn add_row(
    text: &mut String,
    deployment: Deployment,
    name: &str,
    policy: PolicySettings,
    seeds: &[u64],
) -> Result<(), ExperimentError> {
    let mut rows = Vec::new();
    for &seed in seeds {
        let mut trace = generate_trace(deployment, Scale::Today, seed)?;
        trace.data_centre.policy = policy;
        let simulation = simulate_seed(Planner::Policy, &trace, seed)?;
        rows.push(Measures::from_simulation(&trace, &simulation));
    }
    let count = f64::from(u32::try_from(rows.len()).unwrap_or(u32::MAX));
    let mean = |value: fn(&Measures) -> f64| rows.iter().map(value).sum::<f64>() / count;
    // Writing to a `String` cannot fail.
    let _ = writeln!(
        text,
        "{deployment:10} {name:30} mean {:.3} h, large mean {:.3} h, large p95 {:.2} h, \
         fragmentation {:.3}, idle {:.3}, wasted {:.3}, within window {:.3}, urgent max {:.1} s",
        mean(|m| m.completion.mean_s / 3_600.0),
        mean(|m| m.by_size[&SizeClass::Large].mean_s / 3_600.0),
        mean(|m| m.by_size[&SizeClass::Large].p95_s / 3_600.0),
        mean(|m| m.fragmentation),
        mean(|m| m.idle_while_waiting),
        mean(|m| m.wasted),
        mean(|m| m.within_window),
        mean(|m| m.urgent_max_s),
    );
    Ok(())
}
