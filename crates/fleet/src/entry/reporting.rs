//! Reports to the control daemons.

use dotterelhoist_core::clock::Instant;

use crate::crash::losses::loss_list;
use crate::message::{Body, Report, Running};

use super::limits::limit_list;
use super::unsent::{demand_list, Unsent};
use super::{Effect, State};

/// Control daemons that are not selected get a report in every nth round only, where n is the
/// number of entry daemons divided by this number and rounded up.
const ENTRY_DAEMONS_PER_ROUND: u32 = 16;

impl<Decoder> State<Decoder> {
    /// Sends a report to the selected control daemon. The others get one in every nth round, with n
    /// from [`State::rounds_per_report_to_all`], and at once if there is a new suspicion or loss, since
    /// any of them may be the leader.
    pub(super) fn send_reports(&mut self, now: Instant, effects: &mut Vec<Effect>) {
        let demand = std::mem::take(&mut self.demand);
        let progress = self.targets.take_progress();
        let limits = self.targets.limits.take_unreported();
        self.unsent.add(&demand, &progress, &limits);
        let suspected = self.suspected_features();
        let service_survivals = match suspected.is_empty() {
            true => Vec::new(),
            false => self.losses.service_survivals(now),
        };
        let targets = &self.targets;
        let losses = self.losses.take_due(now, |id| targets.last_part(id));
        let report = Report {
            running: self
                .targets
                .running()
                .map(|(id, count, backlog)| Running { id: id.to_string(), count, backlog })
                .collect(),
            demand: demand_list(&demand),
            suspects: self.targets.suspects(now),
            traffic: self.has_traffic,
            selected: false,
            progress,
            crashed: std::mem::take(&mut self.unreported_crashes),
            limits: limit_list(now, &limits),
            losses: loss_list(now, &losses),
            survivals: self.losses.take_survivals(now, &suspected),
            service_survivals,
            bars: Vec::new(),
            reports_losses: true,
            takes_relays: self.takes_relays(now),
            needs_relay: self.targets.needs_relay(now),
        };
        self.report_round += 1;
        let new_suspect = report.suspects.iter().any(|id| !self.reported_suspects.contains(id));
        let due = self.report_round.is_multiple_of(self.rounds_per_report_to_all());
        let new_limit = std::mem::take(&mut self.limits_changed);
        let new_evidence = !report.losses.is_empty() || !report.survivals.is_empty();
        let new_crash = new_evidence || !report.crashed.is_empty();
        let unknown_bars =
            self.sources.values().any(|source| !source.lacks(&self.bars, now).is_empty());
        let all = due || new_suspect || new_limit || new_crash || unknown_bars;
        self.reported_suspects.clone_from(&report.suspects);
        for (name, source) in &self.sources {
            let report = Report { bars: source.lacks(&self.bars, now), ..report.clone() };
            if self.selected.as_ref() == Some(name) {
                let report = Report { selected: true, ..report };
                effects.push(Effect::Send(name.clone(), Body::Report(report)));
            } else if all {
                let report = self.unsent.fill_report(now, report);
                effects.push(Effect::Send(name.clone(), Body::Report(report)));
            }
        }
        if all {
            self.unsent = Unsent::default();
        }
    }

    /// Whether other entry daemons may relay requests to this one.
    fn takes_relays(&self, now: Instant) -> bool {
        self.confirmed && !self.stopping && !self.targets.is_cut_off(now)
    }

    /// Number of rounds after which control daemons that are not selected get a report as well. It
    /// grows with the number of entry daemons, so that the reports that one control daemon receives
    /// grow more slowly than the deployment.
    fn rounds_per_report_to_all(&self) -> u32 {
        self.entry_daemons().div_ceil(ENTRY_DAEMONS_PER_ROUND)
    }

    /// Number of entry daemons, as far as the control daemons know.
    pub(super) fn entry_daemons(&self) -> u32 {
        let statuses = self.sources.values().filter_map(|source| source.status.as_ref());
        statuses.map(|status| status.entry_daemons).max().unwrap_or(1).max(1)
    }
}
