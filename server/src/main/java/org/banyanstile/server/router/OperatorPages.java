package org.banyanstile.server.router;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.banyanstile.config.api.ApiJson;

/**
 * Responses to operators: explanations at {@code /explain}, the metrics at each other
 * path.
 *
 * @author banyanstile contributors
 */
final class OperatorPages implements HttpHandler {

	private static final String EXPLAIN = "/explain";

	private static final int BAD_REQUEST = 400;

	private final Supplier<String> metrics;

	private final RequestExplainer explainer;

	OperatorPages(Supplier<String> metrics, RequestExplainer explainer) {
		this.metrics = metrics;
		this.explainer = explainer;
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		if (!exchange.getRequestPath().equals(EXPLAIN)) {
			send(exchange, "text/plain; version=0.0.4; charset=utf-8", this.metrics.get());
			return;
		}
		try {
			ExplainedRequest request = ExplainedRequest.of(parameters(exchange));
			send(exchange, "application/json", ApiJson.write(this.explainer.explain(request)));
		}
		catch (IllegalArgumentException ex) {
			exchange.setStatusCode(BAD_REQUEST);
			send(exchange, "text/plain; charset=utf-8", String.valueOf(ex.getMessage()));
		}
	}

	// The server does not decode URLs, since requests are forwarded as they came.
	private static Map<String, String> parameters(HttpServerExchange exchange) {
		Map<String, String> parameters = new HashMap<>();
		exchange.getQueryParameters()
			.forEach((name, values) -> parameters.put(name,
					URLDecoder.decode(values.getFirst(), StandardCharsets.UTF_8)));
		return parameters;
	}

	private static void send(HttpServerExchange exchange, String type, String body) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, type);
		exchange.getResponseSender().send(body);
	}

}
