package org.banyanstile.tools;

import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.stream.Collectors;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import org.banyanstile.config.IpPort;
import org.banyanstile.config.api.ApiFormatException;
import org.banyanstile.config.api.ApiJson;
import org.banyanstile.config.api.Explanation;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;
import org.jspecify.annotations.Nullable;

/**
 * {@code explain}: shows where a VM would send a request now, and why, without sending
 * it.
 *
 * @author banyanstile contributors
 */
@Parameters(commandDescription = "show where a VM would send a request now, and why, without sending it")
final class ExplainCommand extends Command {

	private static final Duration TIMEOUT = Duration.ofSeconds(5);

	private static final int MAX_RESPONSE_BYTES = 1024 * 1024;

	private static final int OK = 200;

	private static final String CANDIDATE_FORMAT = "%-8s %-24s %-14s %8s %10s %-6s %s%n";

	@Parameter(names = "--vm", required = true, description = "metrics address of a VM as <ip:port>")
	private String vm = "";

	@Parameter(names = "--host", required = true, description = "host name of the request")
	private String host = "";

	@Parameter(names = "--path", required = true, description = "path of the request")
	private String path = "";

	@Parameter(names = "--team", description = "name of the team whose request it is")
	private @Nullable String team;

	@Parameter(names = "--prompt-tokens", description = "tokens of the prompt of a generation")
	private long promptTokens;

	@Parameter(names = "--output-tokens", description = "expected output tokens of a generation")
	private long outputTokens;

	@Override
	ExitCode run(Console console) throws CommandException {
		if (IpPort.parse(this.vm).isEmpty()) {
			throw new UsageException("--vm: " + this.vm + " is not an IP address and a port");
		}
		Explanation explanation = fetch();
		console.print(explanation, text(explanation));
		return ExitCode.DONE;
	}

	private Explanation fetch() throws CommandException {
		try (HttpClient client = HttpClient.create(1);
				HttpResponse response = client
					.send(HttpRequest.get(this.vm, "/explain?" + query()).withTimeout(TIMEOUT))) {
			String body = response.text(MAX_RESPONSE_BYTES);
			if (response.status() != OK) {
				throw new RefusedException(this.vm + " responded with " + response.status() + ": " + body);
			}
			return ApiJson.read(body, Explanation.class);
		}
		catch (HttpException ex) {
			throw new NotReachableException(String.valueOf(ex.getMessage()));
		}
		catch (ApiFormatException ex) {
			throw new RefusedException(this.vm + " does not explain requests: " + ex.getMessage());
		}
	}

	private String query() {
		Map<String, String> parameters = new LinkedHashMap<>();
		parameters.put("host", this.host);
		parameters.put("path", this.path);
		if (this.team != null) {
			parameters.put("team", this.team);
		}
		parameters.put("promptTokens", Long.toString(this.promptTokens));
		parameters.put("outputTokens", Long.toString(this.outputTokens));
		return parameters.entrySet()
			.stream()
			.map((entry) -> entry.getKey() + '=' + URLEncoder.encode(entry.getValue(), StandardCharsets.UTF_8))
			.collect(Collectors.joining("&"));
	}

	private static String text(Explanation explanation) {
		StringBuilder text = new StringBuilder("VM ").append(explanation.vm())
			.append(", configuration ")
			.append(explanation.configuration())
			.append(": ")
			.append(verdict(explanation))
			.append(System.lineSeparator());
		explanation.reasons().forEach((reason) -> text.append("  ").append(reason).append(System.lineSeparator()));
		if (!explanation.candidates().isEmpty()) {
			text.append(String.format(CANDIDATE_FORMAT, "ROLE", "ENDPOINT", "DATA CENTRE", "REQUESTS", "TOKENS",
					"USABLE", "REASON"));
		}
		for (Explanation.Candidate candidate : explanation.candidates()) {
			text.append(String.format(CANDIDATE_FORMAT, candidate.role(), candidate.id(), candidate.dataCentre(),
					candidate.requests(), candidate.tokens(), candidate.usable() ? "yes" : "no", candidate.reason()));
		}
		return text.toString().stripTrailing();
	}

	private static String verdict(Explanation explanation) {
		return switch (explanation.outcome()) {
			case "send" ->
				"would send the request to " + explanation.endpoint() + ((explanation.prefillEndpoint() != null)
						? ", prefilled at " + explanation.prefillEndpoint() : "");
			case "wait" -> "the request would wait";
			default -> "would refuse the request with " + explanation.status();
		};
	}

}
