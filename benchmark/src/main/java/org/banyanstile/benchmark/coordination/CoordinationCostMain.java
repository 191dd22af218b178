package org.banyanstile.benchmark.coordination;

import java.io.IOException;
import java.io.PrintStream;
import java.lang.management.ManagementFactory;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import com.sun.management.OperatingSystemMXBean;
import org.banyanstile.io.http.HttpClient;

/**
 * Measures bytes, processor time and store calls per second of each VM at several fleet
 * sizes, with all VMs in this process over loopback, and prints the slopes.
 *
 * @author banyanstile contributors
 */
public final class CoordinationCostMain {

	private static final int[] SIZES = { 3, 9, 27 };

	private static final int PARTITIONS = 40;

	private static final long SETTLE_MILLIS = 90_000;

	private static final long MEASURE_MILLIS = 20_000;

	private CoordinationCostMain() {
	}

	/**
	 * Runs the measurement.
	 * @param args ignored
	 * @throws Exception if a VM cannot be started
	 */
	public static void main(String[] args) throws Exception {
		PrintStream out = System.out;
		out.println("vms  bytes/s/vm  cpu%/vm  store writes/s/vm  store reads/s/vm");
		List<Cost> costs = new ArrayList<>();
		for (int n : SIZES) {
			Cost cost = measure(n);
			costs.add(cost);
			out.printf(Locale.ROOT, "%3d  %10.0f  %7.2f  %17.2f  %16.2f%n", n, cost.bytes(), cost.cpuPercent(),
					cost.writes(), cost.reads());
		}
		for (int i = 1; i < costs.size(); i++) {
			Cost a = costs.get(i - 1);
			Cost b = costs.get(i);
			double vms = b.vms() - a.vms();
			out.printf(Locale.ROOT, "slope %d to %d: %.1f bytes/s and %.4f%% of a core per further VM%n", a.vms(),
					b.vms(), (b.bytes() - a.bytes()) / vms, (b.cpuPercent() - a.cpuPercent()) / vms);
		}
	}

	private static Cost measure(int n) throws Exception {
		MemoryTable table = new MemoryTable();
		List<MeasuredVm> vms = new ArrayList<>();
		try (HttpClient http = HttpClient.create(1)) {
			List<String> partitions = new ArrayList<>();
			for (int i = 0; i < PARTITIONS; i++) {
				partitions.add("team/" + i);
			}
			String unusedListUrl = "http://" + freeAddress();
			for (int i = 0; i < n; i++) {
				vms.add(MeasuredVm.start("entry-vm-" + i, freeAddress(), table, http, unusedListUrl, partitions));
			}
			settle(vms, n);
			return steady(vms, table);
		}
		finally {
			vms.forEach(MeasuredVm::close);
		}
	}

	private static void settle(List<MeasuredVm> vms, int n) throws InterruptedException {
		long deadline = System.nanoTime() + SETTLE_MILLIS * 1_000_000;
		while (!isSettled(vms, n)) {
			if (System.nanoTime() - deadline > 0) {
				throw new IllegalStateException("the fleet of " + n + " VMs did not settle in time");
			}
			Thread.sleep(100);
		}
		// Partitions that were taken from a stale scan are moved within the next two
		// scans.
		Thread.sleep(10_000);
	}

	private static boolean isSettled(List<MeasuredVm> vms, int n) {
		int owned = 0;
		for (MeasuredVm vm : vms) {
			owned += vm.coordination().owned().size();
			if (vm.coordination().members().size() != n || vm.peers().connected().size() != n - 1) {
				return false;
			}
		}
		return owned == PARTITIONS;
	}

	private static Cost steady(List<MeasuredVm> vms, MemoryTable table) throws InterruptedException {
		OperatingSystemMXBean system = (OperatingSystemMXBean) ManagementFactory.getOperatingSystemMXBean();
		long startedAt = System.nanoTime();
		long cpu = system.getProcessCpuTime();
		long bytes = bytes(vms);
		long writes = table.writes();
		long reads = table.reads();
		Thread.sleep(MEASURE_MILLIS);
		double nanos = System.nanoTime() - startedAt;
		double perVm = vms.size() * nanos / 1e9;
		return new Cost(vms.size(), (bytes(vms) - bytes) / perVm,
				100 * (system.getProcessCpuTime() - cpu) / (nanos * vms.size()), (table.writes() - writes) / perVm,
				(table.reads() - reads) / perVm);
	}

	private static long bytes(List<MeasuredVm> vms) {
		return vms.stream().mapToLong((vm) -> vm.peers().counters().bytesSent().sum()).sum();
	}

	private static String freeAddress() throws IOException {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
	}

	/**
	 * Cost of one VM.
	 *
	 * @param vms size of the fleet
	 * @param bytes bytes sent per second
	 * @param cpuPercent processor time in percent of a core
	 * @param writes store writes per second
	 * @param reads store reads per second
	 * @author banyanstile contributors
	 */
	private record Cost(int vms, double bytes, double cpuPercent, double writes, double reads) {

	}

}
