package org.banyanstile.benchmark;

import java.io.PrintStream;

/**
 * Prints measured costs, in total and per unit of size.
 *
 * @author banyanstile contributors
 */
final class SlopeTable {

	private final PrintStream out;

	SlopeTable(PrintStream out) {
		this.out = out;
		out.println("| work | of | size | cost | a unit of size |");
		out.println("|---|---|---|---|---|");
	}

	void cpu(String work, String unit, int size, double nanos) {
		this.out.printf("| %s | %s | %d | %.2f us | %.4f us |%n", work, unit, size, nanos / 1000, nanos / 1000 / size);
	}

	void memory(String work, String unit, int size, long bytes) {
		this.out.printf("| %s, memory | %s | %d | %.1f KB | %.0f B |%n", work, unit, size, bytes / 1024.0,
				(double) bytes / size);
	}

	void bytes(String work, String unit, int size, long bytes) {
		this.out.printf("| %s | %s | %d | %d B | %.1f B |%n", work, unit, size, bytes, (double) bytes / size);
	}

}
