package org.banyanstile.server.caller;

import java.io.IOException;
import java.util.Objects;
import java.util.UUID;

import io.undertow.server.HttpServerExchange;

/**
 * Handles requests for generated text.
 *
 * @author banyanstile contributors
 */
final class ChatHandler {

	private static final String ROUTE = "chat";

	private final RequestServices services;

	ChatHandler(RequestServices services) {
		this.services = services;
	}

	void handle(HttpServerExchange exchange, ResponseWriter writer, CallerConnection connection)
			throws RequestException, IOException {
		ServingConfiguration configuration = this.services.configuration().current();
		CallerRequest request = CallerRequest.read(exchange, configuration, false);
		Caller caller = Objects.requireNonNull(request.caller());
		RequestLabels labels = new RequestLabels(caller.team().name(), ROUTE, this.services.dataCentre().name());
		try {
			ChatRequest chat = ChatRequest.parse(request.body(), configuration.limits());
			requireModel(configuration, chat.model());
			run(request, caller, chat, writer, connection, labels);
		}
		catch (RequestException ex) {
			this.services.metrics().refused(labels, ex);
			throw ex;
		}
	}

	private void run(CallerRequest request, Caller caller, ChatRequest chat, ResponseWriter writer,
			CallerConnection connection, RequestLabels labels) throws RequestException, IOException {
		String id = UUID.randomUUID().toString();
		ChatOutput output = chat.stream() ? new EventStreamOutput(writer, id, chat.model())
				: new CompleteOutput(writer, id, chat);
		CallControl control = new CallControl();
		CallWatch.Watched watched = this.services.watch().add(control, connection, caller);
		try {
			new ChatCall(this.services, request, caller, chat, output, control, labels, id).run();
		}
		catch (RequestException ex) {
			this.services.metrics().refused(labels, ex);
			output.fail(ex);
		}
		finally {
			this.services.watch().remove(watched);
		}
	}

	private static void requireModel(ServingConfiguration configuration, String model) throws RequestException {
		boolean known = configuration.endpoints()
			.stream()
			.anyMatch((target) -> target.pool().role() != PoolRole.SERVICE && target.pool().serves().equals(model));
		if (!known) {
			throw RequestException.notRun(ErrorType.NOT_FOUND, "there is no such model");
		}
	}

}
