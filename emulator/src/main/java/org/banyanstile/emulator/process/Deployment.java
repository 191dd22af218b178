package org.banyanstile.emulator.process;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.banyanstile.config.VmSettings;
import org.banyanstile.config.json.ConfigurationJson;
import org.banyanstile.config.key.OperatorToken;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;

/**
 * A deployment on loopback: platform, engines, plain services and VMs, each a process.
 * Closing it ends all of them by their process identifiers.
 *
 * @author banyanstile contributors
 */
public final class Deployment implements AutoCloseable {

	private static final Duration START_LIMIT = Duration.ofSeconds(30);

	private static final int VM_SLOTS = 16;

	private static final int WORKERS = 64;

	private final Launcher launcher;

	private final Path directory;

	private final FreePorts ports = new FreePorts();

	private final JsonCalls calls = new JsonCalls();

	private final String fleetKey = randomHex();

	private final String operatorToken = randomHex();

	private final String platform = this.ports.address();

	private final List<ChildProcess> processes = new ArrayList<>();

	private final Map<String, Node> nodes = new LinkedHashMap<>();

	private final Map<String, VmNode> vms = new LinkedHashMap<>();

	private Deployment(Launcher launcher, Path directory) {
		this.launcher = launcher;
		this.directory = directory;
	}

	/**
	 * Creates a deployment without processes.
	 * @param launcher starts the programs
	 * @param directory directory for settings and logs
	 * @return the deployment
	 * @throws IOException if the directory cannot be created
	 */
	public static Deployment create(Launcher launcher, Path directory) throws IOException {
		Files.createDirectories(directory);
		return new Deployment(launcher, directory);
	}

	private static String randomHex() {
		byte[] bytes = new byte[32];
		new SecureRandom().nextBytes(bytes);
		return HexFormat.of().formatHex(bytes);
	}

	/**
	 * Starts a program in this deployment.
	 * @param program the program
	 * @param name name of the process
	 * @param args its arguments
	 * @return the process
	 * @throws IOException if it cannot be started
	 */
	public synchronized ChildProcess start(Launcher.Program program, String name, List<String> args)
			throws IOException {
		ChildProcess process = this.launcher.start(program, name, this.directory.resolve(name + ".log"), args);
		this.processes.add(process);
		Files.write(this.directory.resolve("pids"),
				this.processes.stream().map((child) -> String.valueOf(child.pid())).toList());
		return process;
	}

	private Node startNode(String command, String name, String address, String... options) throws IOException {
		List<String> args = new ArrayList<>(List.of(command, "--listen", address));
		args.addAll(Arrays.asList(options));
		Node node = new Node(address, start(Launcher.Program.EMULATOR, name, args));
		this.nodes.put(name, node);
		return node;
	}

	/**
	 * Starts the table service and the list of VMs.
	 * @param options further options
	 * @return the stand-in
	 * @throws IOException if it cannot be started
	 */
	public Node startPlatform(String... options) throws IOException {
		return startNode("platform", "platform", this.platform, options);
	}

	/**
	 * Starts an engine.
	 * @param name name of the endpoint
	 * @param options further options
	 * @return the stand-in
	 * @throws IOException if it cannot be started
	 */
	public Node startEngine(String name, String... options) throws IOException {
		return startNode("engine", name, addressOf(name), options);
	}

	/**
	 * Starts a plain service.
	 * @param name name of the endpoint
	 * @param options further options
	 * @return the stand-in
	 * @throws IOException if it cannot be started
	 */
	public Node startService(String name, String... options) throws IOException {
		return startNode("service", name, addressOf(name), options);
	}

	private String addressOf(String name) {
		// A restarted endpoint keeps its address, which the configuration holds.
		Node earlier = this.nodes.get(name);
		return (earlier != null) ? earlier.address() : this.ports.address();
	}

	/**
	 * Starts a VM with a new name and adds it to the platform's list.
	 * @param name name of the VM
	 * @param dataCentre its data centre
	 * @return the VM
	 * @throws IOException if it cannot be started
	 * @throws HttpException if the platform did not accept it
	 */
	public VmNode startVm(String name, String dataCentre) throws IOException, HttpException {
		List<String> seeds = this.vms.values().stream().map((vm) -> vm.settings().vmAddress()).toList();
		VmSettings settings = new VmSettings(name, dataCentre, this.ports.address(), this.ports.address(),
				this.ports.address(), "http://" + this.platform, "http://" + this.platform, seeds, this.fleetKey,
				OperatorToken.hash(this.operatorToken), VM_SLOTS, WORKERS);
		Path file = this.directory.resolve(name + ".json");
		Files.writeString(file, ConfigurationJson.writeIndented(settings));
		list(settings, "live");
		ChildProcess process = start(Launcher.Program.DAEMON, name, List.of("--settings", file.toString()));
		VmNode vm = new VmNode(settings, process);
		this.vms.put(name, vm);
		return vm;
	}

	/**
	 * Kills a VM and removes it from the platform's list.
	 * @param vm the VM
	 * @throws InterruptedException if interrupted
	 * @throws HttpException if the platform did not accept the change
	 */
	public void killVm(VmNode vm) throws InterruptedException, HttpException {
		vm.process().kill();
		this.vms.remove(vm.settings().vm());
		list(vm.settings(), "gone");
	}

	/**
	 * Asks a VM to shut down and marks it as leaving on the platform's list.
	 * @param vm the VM
	 * @throws HttpException if the platform did not accept the change
	 */
	public void stopVm(VmNode vm) throws HttpException {
		this.vms.remove(vm.settings().vm());
		list(vm.settings(), "leaving");
		vm.process().terminate();
	}

	private void list(VmSettings vm, String state) throws HttpException {
		this.calls.post(this.platform, "/vms/v1/list",
				Map.of("name", vm.vm(), "address", vm.vmAddress(), "state", state));
	}

	/**
	 * Waits until all stand-ins respond.
	 * @throws InterruptedException if interrupted
	 */
	public void awaitNodes() throws InterruptedException {
		for (Map.Entry<String, Node> entry : this.nodes.entrySet()) {
			Conditions.await(entry.getKey() + " responds", START_LIMIT,
					() -> this.calls.get(entry.getValue().address(), "/stats").status() > 0);
		}
	}

	/**
	 * Waits until every VM lists exactly the running VMs to callers.
	 * @param limit longest time to wait
	 * @throws InterruptedException if interrupted
	 */
	public void awaitVms(Duration limit) throws InterruptedException {
		List<String> wanted = this.vms.values().stream().map(VmNode::callerAddress).sorted().toList();
		for (VmNode vm : this.vms.values()) {
			Conditions.await(vm.process().name() + " lists " + wanted, limit,
					() -> listed(vm.callerAddress()).equals(wanted));
		}
	}

	private List<String> listed(String callerAddress) throws HttpException {
		List<String> listed = new ArrayList<>();
		for (JsonNode vm : this.calls.get(callerAddress, "/v1/vms").body().path("vms")) {
			listed.add(vm.path("address").asText());
		}
		return listed.stream().sorted().toList();
	}

	/**
	 * Sends a call of an operator.
	 * @param vm the VM to call
	 * @param request the request, whose address is replaced by that of the VM
	 * @return the response
	 * @throws HttpException if there was no response
	 */
	public JsonCalls.Response operator(VmNode vm, HttpRequest request) throws HttpException {
		HttpRequest call = new HttpRequest(request.method(), vm.operatorAddress(), request.path(), request.headers(),
				request.body(), request.timeout(), true);
		return this.calls.send(call.withHeader("Authorization", "Bearer " + this.operatorToken));
	}

	/**
	 * Returns the address of the platform.
	 * @return the address as {@code ip:port}
	 */
	public String platform() {
		return this.platform;
	}

	/**
	 * Returns the operators' token.
	 * @return the token
	 */
	public String operatorToken() {
		return this.operatorToken;
	}

	/**
	 * Returns a stand-in.
	 * @param name its name
	 * @return the stand-in
	 */
	public Node node(String name) {
		Node node = this.nodes.get(name);
		if (node == null) {
			throw new IllegalArgumentException("no stand-in with the name " + name);
		}
		return node;
	}

	/**
	 * Returns the running VMs.
	 * @return the VMs in the order of their start
	 */
	public List<VmNode> vms() {
		return List.copyOf(this.vms.values());
	}

	/**
	 * Returns the directory for settings and logs.
	 * @return the directory
	 */
	public Path directory() {
		return this.directory;
	}

	/**
	 * Returns the client for calls.
	 * @return the client
	 */
	public JsonCalls calls() {
		return this.calls;
	}

	private void deletePids() {
		try {
			Files.deleteIfExists(this.directory.resolve("pids"));
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	@Override
	public synchronized void close() {
		for (ChildProcess process : this.processes) {
			try {
				process.kill();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		this.calls.close();
		deletePids();
	}

}
