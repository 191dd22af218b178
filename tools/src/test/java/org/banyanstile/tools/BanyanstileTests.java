package org.banyanstile.tools;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.json.ConfigurationJson;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for the command line of {@link Banyanstile}.
 *
 * @author banyanstile contributors
 */
class BanyanstileTests {

	private final ByteArrayOutputStream out = new ByteArrayOutputStream();

	private final ByteArrayOutputStream err = new ByteArrayOutputStream();

	@TempDir
	private Path directory;

	private String valid;

	private String invalid;

	private String token;

	@BeforeEach
	void write() throws Exception {
		String json = ConfigurationJson
			.write(FleetConfiguration.builder("d").region(Region.of("r", "a")).limits(Limits.of(10, 10, 10)).build());
		this.valid = Files.writeString(this.directory.resolve("valid.json"), json).toString();
		this.invalid = Files.writeString(this.directory.resolve("invalid.json"), json.replace("10", "0")).toString();
		this.token = Files.writeString(this.directory.resolve("token"), "t\n").toString();
	}

	private int run(String input, String... args) {
		this.out.reset();
		this.err.reset();
		return Banyanstile.run(args, new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)),
				new PrintStream(this.out), new PrintStream(this.err));
	}

	@Test
	void checkNamesFilePathAndValue() {
		assertThat(run("", "config", "check", this.valid), is(0));
		assertThat(run("", "config", "check", this.valid, this.invalid), is(1));
		assertThat(this.err.toString(), containsString("invalid.json: $.limits.maxBodyBytes: 0: must be an integer"));
		assertThat(run("", "config", "check", "--output", "json", this.invalid), is(1));
		assertThat(this.out.toString(), containsString("\"path\" : \"$.limits.maxPromptTokens\""));
		assertThat(run("", "config", "check", "--settings", this.valid), is(1));
	}

	@Test
	void diffPrintsChanges() throws Exception {
		Path other = Files.writeString(this.directory.resolve("other.json"),
				Files.readString(Path.of(this.valid)).replace("\"maxBodyBytes\":10", "\"maxBodyBytes\":20"));
		assertThat(run("", "config", "diff", this.valid, other.toString()), is(0));
		assertThat(this.out.toString().strip(), is("~ $.limits.maxBodyBytes: 10 -> 20"));
		assertThat(run("", "config", "diff", this.valid, this.valid), is(0));
		assertThat(this.out.toString().strip(), is("no changes"));
	}

	@Test
	void keyCreateAndHashAgree() {
		assertThat(run("", "key", "create", "--id", "k1"), is(0));
		String key = this.out.toString().lines().findFirst().orElseThrow().replaceAll(".*: ", "");
		assertThat(run(key + "\n", "key", "hash", "--output", "json"), is(0));
		assertThat(this.out.toString(), containsString("\"id\" : \"k1\""));
		assertThat(this.out.toString(), not(containsString(key.substring(6))));
		assertThat(run("bk_k1", "key", "hash"), is(2));
		assertThat(run("", "key", "create", "--id", "a_b"), is(2));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "unknown", "config", "config unknown", "config check", "config check --output xml x",
			"status", "status --vm localhost:1", "config check /none", "config apply --vm 127.0.0.1:1 x" })
	void aWrongCommandLineHasExitCode2(String line) {
		assertThat(run("", line.isEmpty() ? new String[0] : line.split(" ")), is(2));
		assertThat(this.err.toString().isBlank(), is(false));
	}

	@ParameterizedTest
	@ValueSource(strings = { "", "config", "config apply", "config check", "key create", "status", "burn" })
	void eachCommandHasHelp(String line) {
		assertThat(run("", (line + " --help").strip().split(" ")), is(0));
		assertThat(this.out.toString(), containsString("Exit codes: 0 done"));
	}

	@Test
	void noAnswerHasExitCode3() {
		// Port 9 (discard) has no listener in the test environment.
		for (String command : new String[] { "config show", "config status", "status", "burn",
				"config apply --replaces 1 " + this.valid }) {
			assertThat(command, run("", (command + " --vm 127.0.0.1:9 --token-file " + this.token).split(" ")), is(3));
		}
	}

	@Test
	void traceOrdersTheLinesOfARequestOverAllVms() throws Exception {
		String first = Files.writeString(this.directory.resolve("vm1.log"), """
				vm1 {"time":"2026-01-01T00:00:02.000Z","message":{"event":"refused","request":"r1","status":"503"}}
				vm1 {"time":"2026-01-01T00:00:01.000Z","message":{"event":"accepted","request":"r2"}}
				no event at all
				""").toString();
		String second = "vm2 {\"time\":\"2026-01-01T00:00:01.500Z\",\"message\":{\"event\":\"accepted\",\"request\":\"r1\"}}\n";
		assertThat(run(second, "trace", "r1", first, "-"), is(0));
		String text = this.out.toString(StandardCharsets.UTF_8);
		assertThat(text.indexOf("accepted"), is(not(-1)));
		assertThat(text.indexOf("accepted") < text.indexOf("refused"), is(true));
		assertThat(text, not(containsString("r2")));
	}

	@Test
	void traceOfAnUnknownRequestSaysSo() {
		assertThat(run("", "trace", "r1", "-"), is(1));
		assertThat(run("", "trace", "r1"), is(2));
	}

}
