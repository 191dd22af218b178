package org.banyanstile.benchmark;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;

import org.banyanstile.core.admission.RetryBudget;
import org.banyanstile.core.admission.SlotOutcome;

/**
 * Runs the requests of one deployment through prefill, transfer and decode with one
 * policy.
 *
 * @author banyanstile contributors
 */
final class PoolComparison {

	static final long DURATION = 300_000 * Deployment.MILLI;

	/**
	 * Requests that arrive within this time before the end of the run may not complete by
	 * then, so they do not count for the shares.
	 */
	private static final long LONGEST_RESPONSE = 20_000 * Deployment.MILLI;

	private static final int MAX_RETRIES = 3;

	private static final int MAX_ENGINES = 3;

	private final EventQueue events = new EventQueue();

	private final List<FakeEngine> engines = new ArrayList<>();

	private final long[] prefillBusyUntil;

	private final double[] offered = new double[Deployment.TEAMS];

	private final double[] served = new double[Deployment.TEAMS];

	private final Deployment deployment;

	private final Scenario scenario;

	private final SlotPolicy policy;

	private final SplittableRandom random;

	private final SlotSource source;

	private final RetryBudget budget = RetryBudget.of(0.1);

	private long jobs;

	private long good;

	private long prefillTokens;

	private long wastedTokens;

	private long wastedForLackOfSlot;

	private long refused;

	private long failed;

	private long coldOverloads;

	PoolComparison(Deployment deployment, Scenario scenario, SlotPolicy policy, long seed) {
		this.deployment = deployment;
		this.scenario = scenario;
		this.policy = policy;
		this.random = new SplittableRandom(seed);
		this.prefillBusyUntil = new long[deployment.prefillEngines()];
		for (int i = 0; i < deployment.decodeEngines(); i++) {
			this.engines.add(new FakeEngine(i, deployment.dataCentres()));
		}
		this.source = policy.usesBroker()
				? new BrokerSource(this.events, this.engines, deployment.delayNanos(), policy.isFair())
				: new LoadSource(this.events, this.engines, deployment.vms(), policy == SlotPolicy.TWO_CHOICES, seed);
	}

	PoolResult run() {
		for (int team = 0; team < Deployment.TEAMS; team++) {
			arrive(team);
		}
		if (this.scenario.isCold()) {
			this.events.every(30_000 * Deployment.MILLI,
					() -> this.engines.get(this.random.nextInt(this.engines.size())).coldStart());
		}
		if (this.scenario.isLeaving()) {
			this.events.at(DURATION / 3, () -> drain(true));
			this.events.at(2 * DURATION / 3, () -> drain(false));
		}
		this.events.run(DURATION);
		return new PoolResult(this.good / (DURATION * 1e-9),
				(double) this.wastedTokens / Math.max(1, this.prefillTokens), this.wastedForLackOfSlot,
				worstTeamShare(), this.refused, this.failed, this.coldOverloads, this.source.messages());
	}

	private void drain(boolean drained) {
		this.engines.stream().filter((engine) -> engine.dataCentre == 0).forEach((engine) -> engine.drained(drained));
	}

	private void arrive(int team) {
		double perSecond = this.scenario.load(team) * this.deployment.capacityPerSecond();
		this.events.after((long) (-Math.log(1 - this.random.nextDouble()) / perSecond * 1e9), () -> {
			Job job = new Job("r" + this.jobs++, team, this.random.nextInt(this.deployment.vms()),
					this.random.nextInt(100, 2 * Deployment.MEAN_PROMPT - 100),
					this.random.nextInt(70, 2 * Deployment.MEAN_OUTPUT - 70), this.events.now());
			this.offered[team] += isCounted(job) ? job.tokens() : 0;
			this.budget.requested();
			start(job);
			arrive(team);
		});
	}

	private void start(Job job) {
		job.attempts++;
		if (!this.policy.isReserving()) {
			prefill(job, () -> this.source.request(job, Deployment.RETENTION, (engine) -> decode(job, engine)));
			return;
		}
		long queued = Math.max(0, Arrays.stream(this.prefillBusyUntil).min().orElse(0) - this.events.now());
		long spent = this.events.now() - job.arrivedAt;
		long maxWait = Deployment.FIRST_TOKEN_TARGET - Deployment.TOKEN_TARGET - Deployment.TRANSFER - prefillNanos(job)
				- queued - spent;
		this.source.request(job, maxWait, (engine) -> {
			if (engine.isEmpty()) {
				this.refused++;
				return;
			}
			prefill(job, () -> decode(job, engine));
		});
	}

	private static boolean isCounted(Job job) {
		return job.arrivedAt < DURATION - LONGEST_RESPONSE;
	}

	private static long prefillNanos(Job job) {
		return Deployment.PREFILL_BASE + job.prompt * Deployment.PREFILL_PER_TOKEN;
	}

	private void prefill(Job job, Runnable next) {
		int least = 0;
		for (int i = 1; i < this.prefillBusyUntil.length; i++) {
			least = (this.prefillBusyUntil[i] < this.prefillBusyUntil[least]) ? i : least;
		}
		long doneAt = Math.max(this.events.now(), this.prefillBusyUntil[least]) + prefillNanos(job);
		this.prefillBusyUntil[least] = doneAt;
		this.prefillTokens += job.prompt;
		this.events.at(doneAt, () -> {
			job.prefilledAt = this.events.now();
			job.excluded.clear();
			next.run();
		});
	}

	private void decode(Job job, Optional<FakeEngine> chosen) {
		if (chosen.isEmpty()) {
			wasted(job, true);
			return;
		}
		FakeEngine engine = chosen.get();
		this.events.after(Deployment.TRANSFER, () -> {
			if (engine.tryStart(job)) {
				run(job, engine);
				return;
			}
			this.coldOverloads += engine.isCold() ? 1 : 0;
			this.source.release(job, engine, engine.isCold() ? SlotOutcome.FAILED : SlotOutcome.CANCELLED);
			job.excluded.add(engine.endpoint);
			long left = job.prefilledAt + Deployment.RETENTION - this.events.now();
			if (job.excluded.size() >= MAX_ENGINES || left <= Deployment.TRANSFER) {
				wasted(job, !engine.isCold());
				return;
			}
			this.events.after(2 * this.deployment.delayNanos(),
					() -> this.source.request(job, left, (other) -> decode(job, other)));
		});
	}

	private void run(Job job, FakeEngine engine) {
		long tokenNanos = Deployment.tokenNanos(engine.active());
		long firstToken = this.events.now() + tokenNanos - job.arrivedAt;
		this.events.after(job.output * tokenNanos, () -> {
			engine.complete(job);
			this.source.release(job, engine, SlotOutcome.COMPLETED);
			this.served[job.team] += isCounted(job) ? job.tokens() : 0;
			if (firstToken <= Deployment.FIRST_TOKEN_TARGET && tokenNanos <= Deployment.TOKEN_TARGET) {
				this.good++;
			}
		});
	}

	private void wasted(Job job, boolean lackOfSlot) {
		this.wastedTokens += job.prompt;
		this.wastedForLackOfSlot += lackOfSlot ? 1 : 0;
		boolean retry = job.attempts <= MAX_RETRIES && (!this.policy.hasBudget() || this.budget.tryRetry());
		if (!retry) {
			this.failed++;
			return;
		}
		start(job);
	}

	/**
	 * Returns the share of the worst-served team.
	 * @return the lowest ratio of tokens served to the max-min fair share of the tokens
	 * served to all teams
	 */
	private double worstTeamShare() {
		double left = Arrays.stream(this.served).sum();
		double[] demands = this.offered.clone();
		Arrays.sort(demands);
		double level = 0;
		for (int i = 0; i < demands.length; i++) {
			level = Math.max(level, Math.min(demands[i], left / (demands.length - i)));
			left -= Math.min(demands[i], left / (demands.length - i));
		}
		double worst = Double.MAX_VALUE;
		for (int team = 0; team < Deployment.TEAMS; team++) {
			worst = Math.min(worst, this.served[team] / Math.min(this.offered[team], level));
		}
		return worst;
	}

}
