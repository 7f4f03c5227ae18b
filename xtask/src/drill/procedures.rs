//! The operational procedures, run one after the other.

use {
    crate::demo::Fleet,
    eyre::{OptionExt, Result, WrapErr, bail},
    serde_json::Value,
    settings::{ControlSettings, LoadSettings, OperatorSettings},
    std::{fs, net::SocketAddr, time::Duration},
    tokio::time::{Instant, sleep},
};

/// Time under load before each procedure.
const STEP_INTERVAL: Duration = Duration::from_secs(3);
const POLL_INTERVAL: Duration = Duration::from_millis(200);
const STATUS_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs the procedures on a fleet.
pub(crate) struct Procedures<'a, 'b> {
    fleet: &'a mut Fleet<'b>,
    load: LoadSettings,
    operator: OperatorSettings,
    /// Listen address of the router that is killed.
    pub(crate) killed: SocketAddr,
}

impl<'a, 'b> Procedures<'a, 'b> {
    pub(crate) fn new(fleet: &'a mut Fleet<'b>) -> Result<Procedures<'a, 'b>> {
        let path = fleet.folder().path();
        let load: LoadSettings = settings::load(&path.join("load.toml"))?;
        let operator = settings::load(&path.join("jf.toml"))?;
        let killed = load.router.last().ok_or_eyre("drill: load.toml lists no router")?.listen;
        Ok(Procedures { fleet, load, operator, killed })
    }

    /// Runs all procedures.
    pub(crate) async fn run(&mut self) -> Result<()> {
        sleep(STEP_INTERVAL).await;
        self.drain_engine().await?;
        sleep(STEP_INTERVAL).await;
        self.restart_router().await?;
        sleep(STEP_INTERVAL).await;
        self.kill_leader().await?;
        sleep(STEP_INTERVAL).await;
        self.wipe_disk().await?;
        sleep(STEP_INTERVAL).await;
        self.kill_router().await
    }

    async fn drain_engine(&mut self) -> Result<()> {
        let engine = self
            .load
            .engine
            .last()
            .ok_or_eyre("drill: load.toml lists no engine")?
            .name
            .to_string();
        let started = Instant::now();
        let planned = self.jf(&["drain", &engine, "--json"]).await?;
        let plan = planned["plan"].as_str().ok_or_eyre("drill: jf drain printed no plan")?;
        self.jf(&["confirm", plan, "--json"]).await?;
        self.wait_for_status("drain of the engine", |it| {
            let endpoints = it["endpoints"].as_array()?;
            let drained = endpoints.iter().find(|it| it["name"] == *engine)?;
            let state = drained["state"].as_str()?;
            state.starts_with("drain").then(|| state.to_owned())
        })
        .await?;
        log_step(&format!("{engine} drained by {plan}"), started);
        Ok(())
    }

    async fn restart_router(&mut self) -> Result<()> {
        let admin = self.load.router[0].admin;
        let started = Instant::now();
        self.fleet.stop("router-1").await?;
        log_step("router-1 exited cleanly", started);
        self.fleet.restart("router-1", admin).await?;
        log_step("router-1 is ready again", started);
        Ok(())
    }

    async fn kill_leader(&mut self) -> Result<()> {
        let (name, admin) = self.replica(true).await?;
        let started = Instant::now();
        self.fleet.kill(&name).await?;
        let old = admin.to_string();
        let leader = self.wait_for_status("election of a new leader", |it| {
            let leader = it["leader"].as_str()?;
            (leader != old).then(|| leader.to_owned())
        });
        let leader = leader.await?;
        log_step(&format!("{name}, the leader, killed; {leader} is the new leader"), started);
        self.fleet.restart(&name, admin).await?;
        log_step(&format!("{name} is ready again"), started);
        Ok(())
    }

    async fn wipe_disk(&mut self) -> Result<()> {
        let (name, admin) = self.replica(false).await?;
        let started = Instant::now();
        let path = self.fleet.folder().path();
        let replica: ControlSettings = settings::load(&path.join(format!("{name}.toml")))?;
        self.fleet.stop(&name).await?;
        let data = path.join(replica.data);
        fs::remove_dir_all(&data)
            .wrap_err_with(|| format!("drill: failed to delete {}", data.display()))?;
        self.fleet.restart(&name, admin).await?;
        log_step(&format!("{name} lost its data directory and votes again"), started);
        Ok(())
    }

    async fn kill_router(&mut self) -> Result<()> {
        let name = format!("router-{}", self.load.router.len());
        let admin = self.load.router[self.load.router.len() - 1].admin;
        let started = Instant::now();
        self.fleet.kill(&name).await?;
        self.fleet.restart(&name, admin).await?;
        log_step(&format!("{name} killed and ready again"), started);
        Ok(())
    }

    /// Returns the name and admin address of the leader, or of a follower if `leads` is false.
    async fn replica(&mut self, leads: bool) -> Result<(String, SocketAddr)> {
        let leader = self.wait_for_status("a leader", |it| Some(it["leader"].as_str()?.to_owned()));
        let leader: SocketAddr =
            leader.await?.parse().wrap_err("drill: failed to parse the address of the leader")?;
        let mut replicas = self.operator.control.iter().enumerate();
        let found = replicas.find(|it| (*it.1 == leader) == leads);
        let (at, admin) = found.ok_or_eyre("drill: jf.toml does not list such a replica")?;
        Ok((format!("control-{}", at + 1), *admin))
    }

    async fn wait_for_status<F>(&self, what: &str, condition: F) -> Result<String>
    where
        F: Fn(&Value) -> Option<String>,
    {
        let deadline = Instant::now() + STATUS_TIMEOUT;
        loop {
            let status = self.jf(&["status", "--json"]).await?;
            if let Some(found) = condition(&status) {
                return Ok(found);
            }
            if Instant::now() > deadline {
                bail!(
                    "drill: {what}: not observed within {STATUS_TIMEOUT:?}, last status {status}"
                );
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn jf(&self, args: &[&str]) -> Result<Value> {
        let text = self.fleet.command("jf", args).await?;
        serde_json::from_str(&text)
            .wrap_err_with(|| format!("drill: failed to parse the output of jf {args:?}"))
    }
}

fn log_step(what: &str, started: Instant) {
    println!("drill: {what}, after {:.1} s", started.elapsed().as_secs_f64());
}
