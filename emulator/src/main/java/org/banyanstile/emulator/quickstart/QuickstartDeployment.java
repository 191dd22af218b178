package org.banyanstile.emulator.quickstart;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;

import org.banyanstile.emulator.process.ChildProcess;
import org.banyanstile.emulator.process.Conditions;
import org.banyanstile.emulator.process.Deployment;
import org.banyanstile.emulator.process.IssuedKey;
import org.banyanstile.emulator.process.Launcher;
import org.banyanstile.emulator.process.VmNode;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;

/**
 * The part of the Order Desk deployment that the quickstart runs: two data centres, each
 * with a prefill engine, a decode engine and a plain service, and three VMs.
 *
 * @author banyanstile contributors
 */
final class QuickstartDeployment {

	private static final List<String> ENGINES = List.of("draft-writer-01", "draft-writer-02", "draft-writer-05",
			"draft-writer-07");

	private static final List<String> SERVICES = List.of("order-desk-1", "order-desk-2");

	private static final List<String> TEAMS = List.of("distribuidora-lima", "distribuidora-norte", "instaladores-sur",
			"instaladores-cusco", "taller-callao");

	private static final Duration LIMIT = Duration.ofSeconds(60);

	private static final int PROGRAM_SECONDS = 30;

	private final Deployment deployment;

	private final List<IssuedKey> keys = TEAMS.stream().map((team) -> IssuedKey.create(team, team + "-1")).toList();

	QuickstartDeployment(Deployment deployment) {
		this.deployment = deployment;
	}

	void start() throws IOException, InterruptedException, HttpException {
		this.deployment.startPlatform("--list-lag-millis", "500");
		this.deployment.awaitNodes();
		for (String engine : ENGINES) {
			this.deployment.startEngine(engine);
		}
		for (String service : SERVICES) {
			this.deployment.startService(service);
		}
		this.deployment.awaitNodes();
		this.deployment.startVm("vm-1", "lima-a");
		this.deployment.startVm("vm-2", "lima-b");
		this.deployment.startVm("vm-3", "lima-a");
		for (VmNode vm : this.deployment.vms()) {
			Conditions.await(vm.process().name() + " responds to operators", LIMIT,
					() -> this.deployment.operator(vm, HttpRequest.get(vm.operatorAddress(), "/operator/v1/status"))
						.status() == 200);
		}
		applyConfiguration();
		this.deployment.awaitVms(LIMIT);
	}

	private void applyConfiguration() throws IOException, InterruptedException {
		List<String> args = new ArrayList<>(List.of("--only", String.join(",", names())));
		for (String name : names()) {
			args.addAll(List.of("--endpoint", name + "=" + this.deployment.node(name).address()));
		}
		for (IssuedKey key : this.keys) {
			args.addAll(List.of("--key", key.option()));
		}
		String json = run(Launcher.Program.CONFIGURATION, "configuration", args);
		Path file = this.deployment.directory().resolve("configuration.json");
		Files.writeString(file, json);
		Path token = this.deployment.directory().resolve("operator-token");
		Files.writeString(token, this.deployment.operatorToken());
		List<String> command = new ArrayList<>(
				List.of("config", "apply", "--replaces", "0", "--token-file", token.toString()));
		for (VmNode vm : this.deployment.vms()) {
			command.addAll(List.of("--vm", vm.operatorAddress()));
		}
		command.add(file.toString());
		System.out.println(run(Launcher.Program.OPERATOR, "config-apply", command).strip());
	}

	private String run(Launcher.Program program, String name, List<String> args)
			throws IOException, InterruptedException {
		ChildProcess process = this.deployment.start(program, name, args);
		int status = process.awaitExit(PROGRAM_SECONDS);
		String output = process.output();
		if (status != 0) {
			throw new IllegalStateException(name + " ended with status " + status + ": " + output);
		}
		return output;
	}

	private static List<String> names() {
		List<String> names = new ArrayList<>(ENGINES);
		names.addAll(SERVICES);
		return names;
	}

	/**
	 * Kills the first VM and starts a new one in the same data centre.
	 * @throws IOException if the new VM cannot be started
	 * @throws InterruptedException if interrupted
	 * @throws HttpException if the platform did not accept the change
	 */
	void replaceVm() throws IOException, InterruptedException, HttpException {
		VmNode vm = this.deployment.vms().get(0);
		this.deployment.killVm(vm);
		System.out.println("killed " + vm.process().name());
		VmNode replacement = this.deployment.startVm("vm-4", vm.settings().dataCentre());
		System.out.println("started " + replacement.process().name());
	}

	List<String> callerAddresses() {
		return this.deployment.vms().stream().map(VmNode::callerAddress).toList();
	}

	List<String> keys() {
		return this.keys.stream().map(IssuedKey::text).toList();
	}

	/**
	 * Counts the executions that exceed one for an idempotency key.
	 * @return the number
	 * @throws HttpException if a service did not respond
	 */
	int repeatedExecutions() throws HttpException {
		int repeated = 0;
		for (String service : SERVICES) {
			repeated += this.deployment.calls()
				.get(this.deployment.node(service).address(), "/stats")
				.body()
				.path("keysRunTwice")
				.asInt();
		}
		return repeated;
	}

	/**
	 * Counts the requests that carried a caller's credentials to an endpoint.
	 * @return the number
	 * @throws HttpException if an endpoint did not respond
	 */
	int leakedKeys() throws HttpException {
		int leaked = 0;
		for (String name : names()) {
			String path = ENGINES.contains(name) ? "/engine/v1/stats" : "/stats";
			var stats = this.deployment.calls().get(this.deployment.node(name).address(), path).body();
			leaked += stats.path("authorizationSeen").asInt() + stats.path("keysSeen").asInt();
		}
		return leaked;
	}

	void printSamples() {
		String vm = callerAddresses().get(0);
		String key = keys().get(0);
		System.out.println("curl http://" + vm + "/v1/vms");
		System.out.println("curl -N http://" + vm + "/v1/chat/completions -H 'Authorization: Bearer " + key
				+ "' -d '{\"model\":\"draft-writer\",\"messages\":[{\"role\":\"user\",\"content\":\"quotation\"}],"
				+ "\"max_tokens\":20,\"stream\":true}'");
		System.out.println("curl http://" + vm + "/v1/services/order-desk/orders -H 'Authorization: Bearer " + key
				+ "' -H 'Idempotency-Key: order-1' -d '{\"panels\":4}'");
		System.out.println("operator address " + this.deployment.vms().get(0).operatorAddress() + ", token in "
				+ this.deployment.directory().resolve("operator-token"));
	}

}
