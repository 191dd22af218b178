package org.banyanstile.server;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;

import org.banyanstile.config.Endpoint;
import org.banyanstile.config.EndpointRole;
import org.banyanstile.config.FleetConfiguration;
import org.banyanstile.config.Limits;
import org.banyanstile.config.Region;
import org.banyanstile.config.Route;
import org.banyanstile.config.Team;
import org.banyanstile.config.TeamKey;
import org.banyanstile.config.VmSettings;
import org.banyanstile.config.key.KeyHash;
import org.banyanstile.config.key.PresentedKey;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * A VM under test with one team, one model and one service.
 *
 * @author banyanstile contributors
 */
final class TestVm implements AutoCloseable {

	static final PresentedKey KEY = new PresentedKey("k1", "0123456789abcdef0123456789abcdef");

	private static final TeamKey TEAM_KEY = TeamKey.active("k1", "00ff", KeyHash.of("00ff", KEY.secret()));

	private final AppliedConfiguration configuration = new AppliedConfiguration();

	private final HttpClient http = HttpClient.create(1);

	private final Daemon daemon;

	private long version;

	TestVm(Endpoint... endpoints) {
		configure(TEAM_KEY, endpoints);
		VmSettings settings = new VmSettings("vm-1", "dc-a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0",
				"http://127.0.0.1:1", "http://127.0.0.1:1", List.of(), "00", "00".repeat(32), 16, 16, 0);
		try {
			this.daemon = Daemon.startAlone(settings, this.configuration);
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
	}

	static Endpoint engine(String name, EndpointRole role, String address) {
		return Endpoint.engine(name, "writer", role).at("dc-a", address).slots(4).build();
	}

	static Endpoint service(String name, String address) {
		return Endpoint.service(name, "orders").at("dc-a", address).slots(4).build();
	}

	void withdrawKey(Endpoint... endpoints) {
		configure(TEAM_KEY.withdrawn(), endpoints);
	}

	private void configure(TeamKey key, Endpoint... endpoints) {
		FleetConfiguration.Builder builder = FleetConfiguration.builder("test")
			.region(Region.of("r", "dc-a"))
			.route(Route.once("orders", "POST", "/orders"))
			.route(Route.idempotent("orders", "GET", "/stock"))
			.team(Team.builder("team-1").rate(1000, 10000).key(key).build())
			.limits(Limits.of(1000, 1000, 2000));
		for (Endpoint endpoint : endpoints) {
			builder.endpoint(endpoint);
		}
		this.configuration.apply(++this.version, builder.build());
	}

	String address() {
		return "127.0.0.1:" + this.daemon.callerPort();
	}

	void shutDown() {
		this.daemon.shutDown();
	}

	String metrics() {
		return this.daemon.metrics();
	}

	static HttpRequest chat(String address, boolean stream) {
		String body = "{\"model\":\"writer\",\"messages\":[{\"role\":\"user\",\"content\":\"one two three\"}],"
				+ "\"max_tokens\":50,\"stream\":" + stream + "}";
		return HttpRequest.postJson(address, "/v1/chat/completions", body)
			.withHeader("Authorization", "Bearer " + KEY.text());
	}

	HttpRequest chat(boolean stream) {
		return chat(address(), stream);
	}

	HttpResponse send(HttpRequest request) throws HttpException {
		return this.http.send(request);
	}

	/**
	 * Reads the words of an event stream up to its end.
	 * @param response the response
	 * @return the words, then {@code DONE} or the type of the error
	 * @throws HttpException if the connection broke
	 */
	static String events(HttpResponse response) throws HttpException {
		StringBuilder text = new StringBuilder();
		String line = response.line(100_000);
		while (line != null) {
			if (line.contains("\"content\":\"")) {
				text.append(line.replaceAll(".*\"content\":\"([^\"]*)\".*", "$1"));
			}
			else if (line.equals("data: [DONE]")) {
				text.append("DONE");
			}
			else if (line.contains("\"error\"")) {
				text.append(line.replaceAll(".*\"type\":\"([^\"]*)\".*", "$1"));
			}
			line = response.line(100_000);
		}
		return text.toString();
	}

	/**
	 * Waits until a condition holds.
	 * @param millis longest wait
	 * @param condition the condition
	 * @return whether it holds
	 */
	static boolean await(long millis, BooleanSupplier condition) {
		long deadline = System.nanoTime() + millis * 1_000_000;
		while (!condition.getAsBoolean() && System.nanoTime() < deadline) {
			LockSupport.parkNanos(5_000_000);
		}
		return condition.getAsBoolean();
	}

	@Override
	public void close() {
		this.daemon.close();
		this.http.close();
	}

}
