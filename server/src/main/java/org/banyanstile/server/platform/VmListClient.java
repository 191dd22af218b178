package org.banyanstile.server.platform;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.banyanstile.core.common.VmId;
import org.banyanstile.io.http.HttpClient;
import org.banyanstile.io.http.HttpException;
import org.banyanstile.io.http.HttpRequest;
import org.banyanstile.io.http.HttpResponse;

/**
 * Client of the platform's list of VMs.
 *
 * @author banyanstile contributors
 */
public final class VmListClient {

	private static final Logger logger = LogManager.getLogger(VmListClient.class);

	private static final Duration TIMEOUT = Duration.ofSeconds(2);

	private static final int MAX_BYTES = 4 * 1024 * 1024;

	private static final int OK = 200;

	private final HttpClient http;

	private final BaseUrl service;

	private final ObjectMapper mapper = new ObjectMapper();

	private VmListClient(HttpClient http, BaseUrl service) {
		this.http = http;
		this.service = service;
	}

	/**
	 * Creates a client.
	 * @param http the HTTP client
	 * @param url base URL of the service, {@code http://ip:port}
	 * @return the client
	 */
	public static VmListClient create(HttpClient http, String url) {
		return new VmListClient(http, BaseUrl.parse(url));
	}

	/**
	 * Reads the list.
	 * @return the VMs, or empty if the list could not be read
	 */
	public Optional<List<ListedVm>> read() {
		HttpRequest request = HttpRequest.get(this.service.address(), this.service.path() + "/vms/v1/list")
			.withTimeout(TIMEOUT);
		try (HttpResponse response = this.http.send(request)) {
			response.setReadTimeout(TIMEOUT);
			String text = response.text(MAX_BYTES);
			return (response.status() == OK) ? Optional.of(parse(this.mapper.readTree(text))) : Optional.empty();
		}
		catch (HttpException | JsonProcessingException | IllegalArgumentException ex) {
			return Optional.empty();
		}
	}

	private static List<ListedVm> parse(JsonNode body) {
		if (!body.path("vms").isArray()) {
			throw new IllegalArgumentException("the reply has no list of VMs");
		}
		List<ListedVm> vms = new ArrayList<>();
		for (JsonNode vm : body.path("vms")) {
			try {
				String name = vm.path("name").isTextual() ? vm.path("name").asText() : "";
				vms.add(new ListedVm(VmId.of(name), vm.path("address").asText(),
						"leaving".equals(vm.path("state").asText())));
			}
			catch (IllegalArgumentException ex) {
				logger.warn("ignored an entry of the VM list: {}", ex.getMessage());
			}
		}
		return vms;
	}

}
