//! `lineroute check`.

use super::{print_json, Failure};
use crate::config::{self, Config, LoadPhase, MemoryPlan, Sources};
use serde_json::{json, Value};

/// Prints the resolved configuration, or all of its errors.
pub fn check(sources: Sources) -> Result<(), Failure> {
    let config = config::read(|key| std::env::var(key).ok(), &sources, LoadPhase::Start);
    let config = config.map_err(|faults| {
        let count = faults.iter().count();
        let plural = if count == 1 { "fault" } else { "faults" };
        Failure::failed(format!("{faults}\n{count} {plural} found; nothing was started"))
    })?;
    print_json(&resolved(&config))
}

/// The parts of the memory limit in KiB, and their sum.
fn memory(plan: &MemoryPlan) -> Value {
    let kib = |bytes: usize| bytes >> 10;
    json!({"process": kib(plan.process), "client_connections": kib(plan.client_connections),
        "worker_connections": kib(plan.worker_connections), "requests": kib(plan.requests),
        "streams": kib(plan.streams), "beanstalkd_jobs": kib(plan.beanstalkd_jobs), "sum": kib(plan.sum())})
}

/// The resolved configuration as JSON, without secret keys.
fn resolved(config: &Config) -> Value {
    let (platform, ms) = (&config.platform, |micros: u64| micros as f64 / 1000.0);
    let name_of =
        |index: usize, names: &[String]| names.get(index).cloned().unwrap_or_else(|| index.to_string());
    let classes: Vec<Value> = (platform.classes.iter().zip(&platform.settings.classes))
        .map(|(name, class)| {
            let kind = class.kind.map(|k| name_of(k.0 as usize, &platform.kinds));
            json!({"class": name, "aim_ms": ms(class.aim), "deadline_ms": ms(class.deadline),
                "effect": format!("{:?}", class.effect), "kind": kind})
        })
        .collect();
    let routes: Vec<Value> = (config.routes.iter())
        .map(|r| {
            let class = r.class.map(|c| name_of(c, &platform.classes));
            json!({"path": r.path, "match": if r.prefix { "prefix" } else { "exact" }, "class": class,
                "budget_ms": r.budget.map(|b| b.as_millis() as u64)})
        })
        .collect();
    let beanstalkd = config.beanstalkd.as_ref().map(|listener| {
        let tubes: Vec<Value> = (listener.tubes.iter())
            .map(|t| {
                json!({"tube": t.tube, "class": name_of(t.class, &platform.classes), "answers": t.answers,
                    "tenant": t.tenant.map(|t| name_of(t, &platform.tenants)),
                    "budget_ms": t.budget.as_millis() as u64})
            })
            .collect();
        json!({"listen": listener.listen.to_string(), "path": listener.path, "max_jobs": listener.max_jobs,
            "max_connections": listener.max_connections, "tubes": tubes})
    });
    json!({
        "name": config.name,
        "listen": config.listen.to_string(),
        "discovery": config.discovery.map(|d| d.to_string()),
        "limits": {"memory_mb": config.memory.limit >> 20, "client_connections": config.max_client_connections,
            "calls_to_workers": config.max_worker_calls},
        "memory_kib": memory(&config.memory),
        "known_workers": config.known_workers.as_ref().map_or(0, |k| k.servers.len()),
        "classes": classes,
        "tenants": platform.tenants,
        "routes": routes,
        "beanstalkd": beanstalkd,
        "beanstalkd_workers": config.beanstalkd_workers,
        "admin": config.admin.as_ref().map(|a| json!({"listen": a.listen.to_string(),
            "key": a.keys.is_some(), "max_connections": a.max_connections})),
        "peers": config.peers.as_ref().map(|p| json!({"listen": p.listen.to_string(),
            "others": p.others.iter().map(|o| o.to_string()).collect::<Vec<_>>()})),
        "overrides": {"longest": humantime::format_duration(
            std::time::Duration::from_millis(config.max_override_ms)).to_string()},
        "state_dir": config.state_dir.as_ref().map(|dir| dir.path()),
    })
}
