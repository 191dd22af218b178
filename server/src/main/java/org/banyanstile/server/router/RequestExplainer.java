package org.banyanstile.server.router;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

import org.banyanstile.config.api.Explanation;
import org.banyanstile.core.catalog.Catalog;
import org.banyanstile.core.catalog.EndpointRole;
import org.banyanstile.core.catalog.EngineTraits;
import org.banyanstile.core.catalog.RegisteredEndpoint;
import org.banyanstile.core.catalog.ServedRoute;
import org.banyanstile.core.catalog.ServedService;
import org.banyanstile.core.catalog.TeamPolicy;
import org.banyanstile.core.catalog.WeightedService;
import org.banyanstile.core.limit.EndpointLimits;
import org.banyanstile.core.placement.CandidateEndpoint;
import org.banyanstile.core.placement.CandidateRanking;
import org.banyanstile.core.placement.PrefillPlacement;
import org.banyanstile.server.view.FleetSnapshot;
import org.jspecify.annotations.Nullable;

/**
 * Explains what this VM would do with a request now, without sending it and without
 * taking tokens, retries or places from anyone.
 *
 * @author banyanstile contributors
 */
final class RequestExplainer {

	private final RouterServices services;

	private final TeamQuotas quotas;

	private final GracefulShutdown shutdown;

	private final String vm;

	private final CandidateRanking ranking;

	RequestExplainer(RouterServices services, TeamQuotas quotas, GracefulShutdown shutdown, String vm) {
		this.services = services;
		this.quotas = quotas;
		this.shutdown = shutdown;
		this.vm = vm;
		this.ranking = CandidateRanking.create(services.loads(), services.health());
	}

	/**
	 * Explains a request.
	 * @param request the request
	 * @return the explanation
	 */
	Explanation explain(ExplainedRequest request) {
		FleetSnapshot snapshot = this.services.view().snapshot();
		Catalog catalog = snapshot.catalog();
		Draft draft = new Draft((catalog != null) ? catalog.version() : -1);
		if (catalog == null) {
			return draft.refuse(503, "this VM has not read a configuration yet");
		}
		if (this.shutdown.hasBegun()) {
			return draft.refuse(503, RejectionException.SHUTTING_DOWN);
		}
		ServedRoute route = catalog.route(request.host(), request.path());
		if (route == null) {
			return draft.refuse(404, "no route of host " + request.host() + " begins the path");
		}
		draft.route = route;
		draft.priority = route.priority();
		draft.reasons.add("route " + route.name() + " has the longest matching prefix " + route.prefix());
		if (catalog.isKeyRequired() && !route.anonymous()) {
			Explanation refusal = checkTeam(draft, catalog, request);
			if (refusal != null) {
				return refusal;
			}
		}
		return place(draft, catalog, route, request);
	}

	private @Nullable Explanation checkTeam(Draft draft, Catalog catalog, ExplainedRequest request) {
		TeamPolicy team = catalog.teams()
			.stream()
			.filter((candidate) -> candidate.name().equals(request.team()))
			.findFirst()
			.orElse(null);
		if (team == null) {
			return draft.refuse(401, "the route needs a key, and no team is named " + request.team());
		}
		if (team.priority() != TeamPolicy.NO_PRIORITY) {
			draft.priority = team.priority();
			draft.reasons.add("the priority " + team.priority() + " of the team takes the place of the route's");
		}
		long tokens = (request.promptTokens() > 0) ? request.promptTokens() + request.outputTokens()
				: team.plainTokens();
		long waitNanos = this.quotas.waitNanos(team, tokens);
		if (waitNanos > 0) {
			return draft.refuse(429, String.format(Locale.ROOT,
					"the team is over its limit; %d tokens are free in %.1f s", tokens, waitNanos / 1e9));
		}
		draft.reasons.add("the limit of the team has room for " + tokens + " tokens");
		return null;
	}

	private Explanation place(Draft draft, Catalog catalog, ServedRoute route, ExplainedRequest request) {
		WeightedService branch = route.services()
			.stream()
			.max(Comparator.comparingInt(WeightedService::weight))
			.orElseThrow();
		draft.service = branch.service();
		if (route.services().size() > 1) {
			draft.reasons.add("the service " + branch.service() + " has the largest share of the route, weight "
					+ branch.weight() + " of " + route.services().stream().mapToInt(WeightedService::weight).sum());
		}
		ServedService service = catalog.service(branch.service());
		if (service == null) {
			return draft.refuse(503, "the service of the route is not configured");
		}
		EngineTraits traits = service.engine();
		return (traits != null) ? placeGeneration(draft, traits, request) : placePlain(draft);
	}

	private Explanation placePlain(Draft draft) {
		String service = draft.service();
		List<RegisteredEndpoint> endpoints = this.services.view().snapshot().usable(service, EndpointRole.PLAIN);
		List<CandidateEndpoint> ranked = this.ranking.plain(endpoints, System.nanoTime());
		draft.add("plain", ranked);
		if (ranked.isEmpty()) {
			return draft.refuse(503, "no endpoint of the service takes new work");
		}
		CandidateEndpoint first = ranked.get(0);
		explainLimit(draft, first.id());
		return draft.send(first.id(), null, "its expected response time is the shortest of " + endpoints.size());
	}

	private void explainLimit(Draft draft, String endpoint) {
		double perSecond = this.services.requestLimit(endpoint);
		if (perSecond != EndpointLimits.UNLIMITED) {
			draft.reasons.add("endpoint " + endpoint + " accepts " + perSecond + " requests/s from all VMs");
		}
	}

	private Explanation placeGeneration(Draft draft, EngineTraits traits, ExplainedRequest request) {
		String service = draft.service();
		long now = System.nanoTime();
		long tokens = request.promptTokens() + Math.max(1, request.outputTokens());
		List<RegisteredEndpoint> decodeEngines = this.services.engines(service, EndpointRole.DECODE);
		List<RegisteredEndpoint> prefillEngines = this.services.engines(service, EndpointRole.PREFILL);
		List<CandidateEndpoint> decode = this.ranking.decode(decodeEngines, traits.memoryTokens(), tokens, false, now);
		draft.add("decode", decode);
		if (tokens > traits.memoryTokens()) {
			return draft.refuse(503, "the request needs " + tokens + " tokens, an engine has " + traits.memoryTokens());
		}
		int waiting = this.services.admissionQueue(service).length();
		draft.reasons.add(waiting + " requests wait for memory at this VM");
		if (decode.isEmpty() || !decode.get(0).usable()) {
			return draft.await("no decode engine has " + tokens + " tokens free by the reported loads");
		}
		CandidateEndpoint first = decode.get(0);
		List<CandidateEndpoint> prefill = this.ranking.prefill(prefillEngines, first.dataCentre(), now);
		draft.add("prefill", prefill);
		explainLimit(draft, first.id());
		boolean separate = !prefill.isEmpty() && prefill.get(0).usable()
				&& usesPrefillEngine(request, draft, prefill.get(0), first);
		draft.reasons.add(separate ? "the prompt is prefilled at " + prefill.get(0).id()
				: "the decode engine prefills the prompt itself, since the prefill engines are busy or absent");
		return draft.send(first.id(), separate ? prefill.get(0).id() : null,
				"it has the most free memory by the reported loads; the engine itself confirms a reservation");
	}

	private boolean usesPrefillEngine(ExplainedRequest request, Draft draft, CandidateEndpoint prefill,
			CandidateEndpoint decode) {
		ServedRoute route = draft.route;
		long maxPause = (route != null) ? route.maxPauseMillis() : 0;
		return PrefillPlacement.usesPrefillEngine(new PrefillPlacement.Prompt(request.promptTokens(), maxPause),
				prefill.tokens(), this.services.prefillSpeeds().tokensPerMilli(prefill.id()),
				new PrefillPlacement.DecodeEngine(decode.requests(), this.services.loads().prefillTokens(decode.id())));
	}

	/**
	 * Explanation that is being made.
	 *
	 * @author banyanstile contributors
	 */
	private final class Draft {

		private final long configuration;

		private final List<String> reasons = new ArrayList<>();

		private final List<Explanation.Candidate> candidates = new ArrayList<>();

		private @Nullable ServedRoute route;

		private @Nullable String service;

		private int priority;

		private Draft(long configuration) {
			this.configuration = configuration;
		}

		private String service() {
			return String.valueOf(this.service);
		}

		private void add(String role, List<CandidateEndpoint> ranked) {
			ranked.forEach((candidate) -> this.candidates
				.add(new Explanation.Candidate(candidate.id(), role, candidate.dataCentre(), candidate.requests(),
						candidate.tokens(), candidate.usable(), candidate.reason())));
		}

		private Explanation refuse(int status, String reason) {
			return end("refuse", status, null, null, reason);
		}

		private Explanation await(String reason) {
			return end("wait", 0, null, null, reason);
		}

		private Explanation send(String endpoint, @Nullable String prefill, String reason) {
			return end("send", 0, endpoint, prefill, reason);
		}

		private Explanation end(String outcome, int status, @Nullable String endpoint, @Nullable String prefill,
				String reason) {
			this.reasons.add(reason);
			ServedRoute matched = this.route;
			return new Explanation(RequestExplainer.this.vm, this.configuration,
					(matched != null) ? matched.name() : null, this.service, this.priority,
					(matched != null) ? matched.objectiveMillis() : 0, outcome, status, endpoint, prefill, this.reasons,
					this.candidates);
		}

	}

}
