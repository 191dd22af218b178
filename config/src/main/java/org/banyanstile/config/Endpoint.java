package org.banyanstile.config;

import com.fasterxml.jackson.annotation.JsonInclude;
import org.jspecify.annotations.Nullable;

/**
 * A program that requests are routed to.
 *
 * @param name the name, unique in the fleet
 * @param dataCentre name of its data centre
 * @param address address as {@code ip:port}
 * @param kind engine or plain service
 * @param role what an engine performs, {@code null} for a plain service
 * @param serves model of an engine, or name of a plain service
 * @param slots maximum number of concurrent requests
 * @param kvPieces KV memory of an engine in pieces, 0 for a plain service
 * @param checksFencing whether it rejects a control order with a stale fencing token
 * @param state whether it receives new work
 * @author banyanstile contributors
 */
@JsonInclude(JsonInclude.Include.NON_NULL)
public record Endpoint(String name, String dataCentre, String address, EndpointKind kind, @Nullable EndpointRole role,
		String serves, int slots, @JsonInclude(JsonInclude.Include.NON_DEFAULT) int kvPieces, boolean checksFencing,
		EndpointState state) {

	/**
	 * Returns a builder of an active engine.
	 * @param name the name
	 * @param model the model it serves
	 * @param role what it performs
	 * @return the builder
	 */
	public static Builder engine(String name, String model, EndpointRole role) {
		return new Builder(name, EndpointKind.ENGINE, role, model);
	}

	/**
	 * Returns a builder of an active plain service.
	 * @param name the name
	 * @param service the service it serves
	 * @return the builder
	 */
	public static Builder service(String name, String service) {
		return new Builder(name, EndpointKind.SERVICE, null, service);
	}

	/**
	 * Returns a copy with another address.
	 * @param address address as {@code ip:port}
	 * @return the copy
	 */
	public Endpoint withAddress(String address) {
		return new Endpoint(this.name, this.dataCentre, address, this.kind, this.role, this.serves, this.slots,
				this.kvPieces, this.checksFencing, this.state);
	}

	/**
	 * Returns a copy with another state.
	 * @param state the state
	 * @return the copy
	 */
	public Endpoint withState(EndpointState state) {
		return new Endpoint(this.name, this.dataCentre, this.address, this.kind, this.role, this.serves, this.slots,
				this.kvPieces, this.checksFencing, state);
	}

	/**
	 * Builder of an endpoint.
	 */
	public static final class Builder {

		private final String name;

		private final EndpointKind kind;

		private final @Nullable EndpointRole role;

		private final String serves;

		private String dataCentre = "";

		private String address = "";

		private int slots = 1;

		private int kvPieces;

		private boolean checksFencing;

		private EndpointState state = EndpointState.ACTIVE;

		private Builder(String name, EndpointKind kind, @Nullable EndpointRole role, String serves) {
			this.name = name;
			this.kind = kind;
			this.role = role;
			this.serves = serves;
		}

		/**
		 * Sets where the endpoint runs.
		 * @param dataCentre name of its data centre
		 * @param address address as {@code ip:port}
		 * @return this builder
		 */
		public Builder at(String dataCentre, String address) {
			this.dataCentre = dataCentre;
			this.address = address;
			return this;
		}

		/**
		 * Sets the maximum number of concurrent requests.
		 * @param slots the number
		 * @return this builder
		 */
		public Builder slots(int slots) {
			this.slots = slots;
			return this;
		}

		/**
		 * Sets the KV memory of an engine.
		 * @param kvPieces the number of pieces
		 * @return this builder
		 */
		public Builder kvPieces(int kvPieces) {
			this.kvPieces = kvPieces;
			return this;
		}

		/**
		 * Sets whether it rejects a control order with a stale fencing token.
		 * @param checksFencing whether it does
		 * @return this builder
		 */
		public Builder checksFencing(boolean checksFencing) {
			this.checksFencing = checksFencing;
			return this;
		}

		/**
		 * Sets whether it receives new work.
		 * @param state the state
		 * @return this builder
		 */
		public Builder state(EndpointState state) {
			this.state = state;
			return this;
		}

		/**
		 * Returns the endpoint.
		 * @return the endpoint
		 */
		public Endpoint build() {
			return new Endpoint(this.name, this.dataCentre, this.address, this.kind, this.role, this.serves, this.slots,
					this.kvPieces, this.checksFencing, this.state);
		}

	}

}
