package org.banyanstile.core.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.RegisteredEndpoint;

/**
 * Simulates VMs that place generations with the decisions of this package on engines that
 * prefill and generate in steps. Each VM knows its own load exactly and that of the other
 * VMs from periodic reports. Time advances in milliseconds.
 *
 * @author banyanstile contributors
 */
final class SimulatedFleet {

	static final int VMS = 9;

	private static final int REPORT_INTERVAL_MILLIS = 250;

	private static final int RESERVE_INTERVAL_MILLIS = 40;

	private static final int LONGEST_WAIT_MILLIS = 2550;

	private static final int OBJECTIVE_MILLIS = 900;

	private static final int LATEST_ON_TIME_MILLIS = 550;

	private static final int MAX_PAUSE_MILLIS = 300;

	private final Model model;

	private final Placement placement;

	private final Headroom headroom;

	private final Random random;

	private final Map<String, Engine> engines = new HashMap<>();

	private final List<RegisteredEndpoint> prefillEngines = new ArrayList<>();

	private final List<RegisteredEndpoint> decodeEngines = new ArrayList<>();

	private final List<Vm> vms = new ArrayList<>();

	private final List<Stream> streams = new ArrayList<>();

	private final List<Later> later = new ArrayList<>();

	private SimulatedFleet(Model model, int prefillEngines, Placement placement, Headroom headroom, long seed) {
		this.model = model;
		this.placement = placement;
		this.headroom = headroom;
		this.random = new Random(seed);
		for (int i = 0; i < model.engines(); i++) {
			EndpointRole role = (i < prefillEngines) ? EndpointRole.PREFILL : EndpointRole.DECODE;
			RegisteredEndpoint engine = new RegisteredEndpoint("e" + i, "llm", "10.0.0.1:80", "dc" + i % 4, role, true,
					64, 0, 0, "");
			((i < prefillEngines) ? this.prefillEngines : this.decodeEngines).add(engine);
			this.engines.put(engine.id(), new Engine((i % 3 == 2) ? model.slowFactor() : 1));
		}
		for (int i = 0; i < VMS; i++) {
			this.vms.add(new Vm(this.random));
		}
	}

	/**
	 * Plays a load.
	 * @param model the engines
	 * @param prefillEngines number of prefill engines
	 * @param placement decides where a prompt is prefilled
	 * @param headroom decides which requests fit into the memory of an engine
	 * @param load requests a second at a time
	 * @param seed seed of the random numbers
	 * @return the streams
	 */
	static List<Stream> play(Model model, int prefillEngines, Placement placement, Headroom headroom, Load load,
			long seed) {
		SimulatedFleet fleet = new SimulatedFleet(model, prefillEngines, placement, headroom, seed);
		for (int now = 0; now < load.seconds() * 1000; now++) {
			fleet.tick(now, load.perSecond(now / 1000.0));
		}
		for (int now = load.seconds() * 1000; now < load.seconds() * 1000 + 15_000; now++) {
			fleet.tick(now, 0);
		}
		return fleet.streams;
	}

	private void tick(int now, double perSecond) {
		if (this.random.nextDouble() < perSecond / 1000) {
			Stream stream = new Stream(now, this.model, this.random);
			this.streams.add(stream);
			this.vms.get(this.random.nextInt(VMS)).waiting.add(stream);
		}
		if (now % REPORT_INTERVAL_MILLIS == 0) {
			exchangeReports(now);
		}
		for (Vm vm : this.vms) {
			vm.admit(now);
		}
		for (Engine engine : this.engines.values()) {
			engine.run(now);
		}
	}

	private void runDue(int now) {
		List<Later> due = this.later.stream().filter((entry) -> entry.at() <= now).toList();
		this.later.removeAll(due);
		due.forEach((entry) -> entry.task().run());
	}

	private void exchangeReports(int now) {
		for (int from = 0; from < VMS; from++) {
			List<EndpointLoads.Load> loads = this.vms.get(from).loads.own();
			for (int to = 0; to < VMS; to++) {
				if (to != from) {
					this.vms.get(to).loads.report("vm" + from, loads, now * 1_000_000L);
				}
			}
		}
	}

	/**
	 * Returns the share of streams that met the objective and had no long pause.
	 * @param streams the streams
	 * @return the share, from 0 to 1
	 */
	static double onTime(List<Stream> streams) {
		return streams.stream().filter(Stream::isOnTime).count() / (double) streams.size();
	}

	static double withLongPause(List<Stream> streams) {
		return streams.stream().filter((stream) -> stream.longestPause > MAX_PAUSE_MILLIS).count()
				/ (double) streams.size();
	}

	/**
	 * Decides whether a prefill engine processes a prompt.
	 *
	 * @author banyanstile contributors
	 */
	interface Placement {

		boolean usesPrefillEngine(PrefillPlacement.Prompt prompt, long queuedTokens, double tokensPerMilli,
				PrefillPlacement.DecodeEngine decodeEngine);

	}

	/**
	 * Decides whether a request fits into the memory of an engine.
	 *
	 * @author banyanstile contributors
	 */
	interface Headroom {

		boolean fits(long memoryTokens, long usedTokens, long tokens, boolean late);

	}

	/**
	 * A load with bursts.
	 *
	 * @param seconds length
	 * @param normal requests a second
	 * @param factor factor during a burst
	 * @param bursts begin and end of each burst in seconds
	 * @author banyanstile contributors
	 */
	record Load(int seconds, double normal, double factor, double[][] bursts) {

		double perSecond(double second) {
			for (double[] burst : this.bursts) {
				if (second >= burst[0] && second < burst[1]) {
					return this.normal * this.factor;
				}
			}
			return this.normal;
		}

	}

	/**
	 * Engines of a service and the requests that they get.
	 *
	 * @param engines number of engines
	 * @param memoryTokens tokens that fit into the memory of one engine
	 * @param stepMillis duration of a decode step
	 * @param pieceTokens prompt tokens that a decode engine prefills in a step
	 * @param prefillTokensPerMilli speed of a prefill engine
	 * @param eventTokens tokens of an event
	 * @param meanPrompt tokens of a prompt, mean
	 * @param meanEvents events of a stream, mean
	 * @param slowFactor factor by which each third engine is slower
	 * @author banyanstile contributors
	 */
	record Model(int engines, int memoryTokens, double stepMillis, int pieceTokens, double prefillTokensPerMilli,
			int eventTokens, int meanPrompt, int meanEvents, double slowFactor) {

	}

	/**
	 * A generation.
	 *
	 * @author banyanstile contributors
	 */
	static final class Stream {

		private final int arrivedAt;

		private final int promptTokens;

		private final int outputTokens;

		private final int eventTokens;

		private int remainingPrompt;

		private int generated;

		private double firstEventAt = -1;

		private double lastEventAt;

		private double longestPause;

		private Runnable onFirstEvent = () -> {
		};

		private Runnable onEnd = () -> {
		};

		private Stream(int now, Model model, Random random) {
			this.arrivedAt = now;
			this.promptTokens = 200 + (int) Math.min(2.2 * model.meanPrompt(), spread(model.meanPrompt(), 0.5, random));
			this.eventTokens = model.eventTokens();
			this.outputTokens = this.eventTokens
					* (int) Math.max(2, Math.min(170, spread(model.meanEvents(), 0.7, random)));
			this.remainingPrompt = this.promptTokens;
		}

		private static double spread(double mean, double spread, Random random) {
			return mean * Math.exp(spread * random.nextGaussian() - spread * spread / 2);
		}

		private int tokens() {
			return this.promptTokens + this.outputTokens;
		}

		boolean isServed() {
			return this.generated >= this.outputTokens;
		}

		boolean isOnTime() {
			return isServed() && this.firstEventAt - this.arrivedAt <= OBJECTIVE_MILLIS
					&& this.longestPause <= MAX_PAUSE_MILLIS;
		}

		// Returns whether the stream has ended.
		private boolean generate(double at) {
			this.generated++;
			if (this.generated % this.eventTokens == 0) {
				if (this.firstEventAt < 0) {
					this.firstEventAt = at;
					this.onFirstEvent.run();
				}
				else {
					this.longestPause = Math.max(this.longestPause, at - this.lastEventAt);
				}
				this.lastEventAt = at;
			}
			if (isServed()) {
				this.onEnd.run();
				return true;
			}
			return false;
		}

	}

	/**
	 * An engine, which runs its streams in steps and prefills one piece of a prompt in
	 * each.
	 *
	 * @author banyanstile contributors
	 */
	private final class Engine {

		private final double slowness;

		private final List<Stream> running = new ArrayList<>();

		private final Deque<Stream> prompts = new ArrayDeque<>();

		private final Deque<Runnable> prefills = new ArrayDeque<>();

		private final Deque<Integer> prefillTokens = new ArrayDeque<>();

		private double freeAt;

		private int usedTokens;

		private Engine(double slowness) {
			this.slowness = slowness;
		}

		private void prefill(int tokens, Runnable onEnd) {
			this.prefillTokens.add(tokens);
			this.prefills.add(onEnd);
		}

		private void run(int now) {
			while (!this.prefills.isEmpty() && this.freeAt <= now) {
				this.freeAt = Math.max(now, this.freeAt) + this.slowness * this.prefillTokens.remove()
						/ SimulatedFleet.this.model.prefillTokensPerMilli();
				// The queue is short, so the end may be reported at the start.
				double end = this.freeAt;
				Runnable onEnd = this.prefills.remove();
				SimulatedFleet.this.later.add(new Later(end, onEnd));
			}
			while ((!this.running.isEmpty() || !this.prompts.isEmpty()) && this.freeAt <= now) {
				step(now);
			}
			SimulatedFleet.this.runDue(now);
		}

		private void step(int now) {
			Model traits = SimulatedFleet.this.model;
			double millis = traits.stepMillis();
			Stream prompt = this.prompts.peek();
			if (prompt != null) {
				int piece = Math.min(traits.pieceTokens(), prompt.remainingPrompt);
				prompt.remainingPrompt -= piece;
				millis += 2 * piece / traits.prefillTokensPerMilli();
			}
			double end = Math.max(now, this.freeAt) + this.slowness * millis;
			this.freeAt = end;
			this.running.removeIf((stream) -> stream.generate(end));
			if (prompt != null && prompt.remainingPrompt == 0) {
				this.running.add(this.prompts.remove());
			}
		}

	}

	/**
	 * Task that is due at a time.
	 *
	 * @param at time in milliseconds
	 * @param task the task
	 * @author banyanstile contributors
	 */
	private record Later(double at, Runnable task) {

	}

	/**
	 * A VM with its own view of the loads.
	 *
	 * @author banyanstile contributors
	 */
	private final class Vm {

		private final EndpointLoads loads = new EndpointLoads();

		private final EndpointPicker picker;

		private final List<Stream> waiting = new ArrayList<>();

		private Vm(Random random) {
			this.picker = EndpointPicker.create(this.loads, new EndpointHealth(), random);
		}

		private void admit(int now) {
			this.waiting.removeIf((stream) -> {
				int age = now - stream.arrivedAt;
				return age > LONGEST_WAIT_MILLIS || (age % RESERVE_INTERVAL_MILLIS == 0 && place(stream, now));
			});
		}

		private boolean place(Stream stream, int now) {
			SimulatedFleet fleet = SimulatedFleet.this;
			List<RegisteredEndpoint> ordered = this.picker.mostFreeMemory(fleet.decodeEngines,
					fleet.model.memoryTokens(), stream.tokens(), now * 1_000_000L);
			boolean late = now - stream.arrivedAt > LATEST_ON_TIME_MILLIS;
			for (RegisteredEndpoint candidate : ordered.subList(0, Math.min(3, ordered.size()))) {
				if (!fleet.headroom.fits(fleet.model.memoryTokens(), this.loads.total(candidate.id()).tokens(),
						stream.tokens(), late)) {
					return false;
				}
				Engine engine = fleet.engines.get(candidate.id());
				if (engine.usedTokens + stream.tokens() <= fleet.model.memoryTokens()) {
					start(stream, candidate, engine, now);
					return true;
				}
			}
			return false;
		}

		private void start(Stream stream, RegisteredEndpoint decode, Engine engine, int now) {
			SimulatedFleet fleet = SimulatedFleet.this;
			int streams = this.loads.total(decode.id()).requests();
			engine.usedTokens += stream.tokens();
			this.loads.begin(decode.id(), stream.tokens());
			stream.onEnd = () -> {
				engine.usedTokens -= stream.tokens();
				this.loads.end(decode.id(), stream.tokens());
			};
			RegisteredEndpoint prefill = this.picker.leastTokens(fleet.prefillEngines, Set.of(), decode.dataCentre(),
					now * 1_000_000L);
			boolean apart = prefill != null && fleet.placement.usesPrefillEngine(
					new PrefillPlacement.Prompt(stream.promptTokens, MAX_PAUSE_MILLIS),
					this.loads.total(prefill.id()).tokens(), fleet.model.prefillTokensPerMilli(),
					new PrefillPlacement.DecodeEngine(streams, this.loads.prefillTokens(decode.id())));
			if (!apart) {
				this.loads.beginPrefill(decode.id(), stream.promptTokens);
				stream.onFirstEvent = () -> this.loads.endPrefill(decode.id(), stream.promptTokens);
				engine.prompts.add(stream);
				return;
			}
			this.loads.begin(prefill.id(), stream.promptTokens);
			fleet.engines.get(prefill.id()).prefill(stream.promptTokens, () -> {
				this.loads.end(prefill.id(), stream.promptTokens);
				engine.running.add(stream);
			});
		}

	}

}
