import java.io.File;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/** A small deployment: the store, machines and runners. Ends all processes at the end. */
final class Fleet {

	static final String CONFIG = """
			{"version":3,"routes":[
			{"name":"book","host":"h","prefix":"/book/","kind":"non_idempotent","timeoutMs":4000,"sloMs":400,"priority":2,"service":"desk","maxAttempts":1},
			{"name":"charge","host":"h","prefix":"/charge/","kind":"non_idempotent","timeoutMs":4000,"sloMs":400,"priority":2,"service":"cards","maxAttempts":1},
			{"name":"keep","host":"h","prefix":"/keep/","kind":"non_idempotent","timeoutMs":4000,"sloMs":400,"priority":2,"service":"stock","maxAttempts":1},
			{"name":"send","host":"h","prefix":"/send/","kind":"non_idempotent","timeoutMs":4000,"sloMs":400,"priority":2,"service":"mail","maxAttempts":1},
			{"name":"look","host":"h","prefix":"/look/","kind":"idempotent","timeoutMs":4000,"sloMs":400,"priority":2,"service":"desk","maxAttempts":2},
			{"name":"draft","host":"h","prefix":"/draft/","kind":"streaming","timeoutMs":14000,"sloMs":900,"priority":1,"service":"llm","maxAttempts":2,"canResume":true,"itlTargetMs":300},
			{"name":"sum","host":"h","prefix":"/sum/","kind":"streaming","timeoutMs":14000,"sloMs":900,"priority":1,"service":"llm","maxAttempts":1,"itlTargetMs":300}],
			"services":[{"name":"desk","healthPath":"/health","maxConns":110},{"name":"cards","healthPath":"/health","maxConns":110},
			{"name":"mail","healthPath":"/health","maxConns":110},{"name":"stock","healthPath":"/health","maxConns":110},
			{"name":"llm","healthPath":"/health","maxConns":620,"engine":{"capacity":128,"kvTokens":34221,"kvHoldS":0.5,"reconfigS":0,"holdMs":2000,"pinMs":4000}}],
			"limits":{"maxHeaderBytes":16384,"maxBodyBytes":1000000,"headerTimeoutMs":5000,"idleTimeoutMs":60000},
			"tenants":[{"name":"team1","apiKeys":["key1"],"unit":"token_stream","plainTokens":200,"ratePerS":0,"burst":0}]}
			""";

	final Store store = new Store();

	final List<Vm> vms = new CopyOnWriteArrayList<>();

	final List<Runner> runners = new CopyOnWriteArrayList<>();

	final Path folder;

	private final Path root;

	private final String network = Vm.network();

	private final List<String> seeds = new ArrayList<>();

	Fleet(Path root) throws Exception {
		this.root = root;
		this.folder = Files.createTempDirectory("review");
		this.store.put("op", "config", CONFIG);
		Runtime.getRuntime().addShutdownHook(new Thread(this::end));
	}

	/** Names machines that were removed for good as seeds. */
	void useStaleSeeds() {
		for (int i = 201; i <= 203; i++) {
			this.seeds.add(this.network + i + ":8229");
		}
	}

	void useSeeds(int count) {
		for (int i = 1; i <= count; i++) {
			this.seeds.add(this.network + i + ":8229");
		}
	}

	Vm vm(int number) throws Exception {
		Vm vm = new Vm(this.root, this.folder, "edge-z1-" + number, "z1", this.network + number,
				this.store.entrance(), this.seeds);
		this.vms.add(vm);
		return vm;
	}

	Runner add(Runner runner) {
		this.runners.add(runner);
		this.store.put("servers", runner.id, runner.entry("ready"));
		return runner;
	}

	/** Waits until each running machine is ready and names as many machines. */
	boolean awaitReady(int count) {
		for (Vm vm : this.vms) {
			if (vm.isRunning() && !vm.awaitReady(15_000)) {
				return false;
			}
		}
		for (int i = 0; i < 200; i++) {
			if (this.vms.stream().filter(Vm::isRunning).allMatch((vm) -> Caller.resolve(vm.ip).size() == count)) {
				return true;
			}
			Threads.pause(100);
		}
		return false;
	}

	private void end() {
		for (Vm vm : this.vms) {
			try {
				vm.kill();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		File[] files = this.folder.toFile().listFiles();
		for (File file : (files != null) ? files : new File[0]) {
			file.delete();
		}
		this.folder.toFile().delete();
	}

}
