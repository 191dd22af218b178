package org.banyanstile.server.vm;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import java.util.HexFormat;

import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

import org.banyanstile.core.common.VmId;
import org.banyanstile.io.frame.FrameConnection;
import org.banyanstile.io.frame.MalformedFrameException;
import org.banyanstile.io.frame.Message;
import org.banyanstile.io.frame.MessageCodec;

/**
 * Mutual proof of possession of the fleet key at the start of a connection. The proofs
 * name the role of their sender, so a proof cannot be reflected to the side that created
 * it.
 *
 * @author banyanstile contributors
 */
final class FleetKeyHandshake {

	private static final String ALGORITHM = "HmacSHA256";

	private static final int NONCE_BYTES = 16;

	private static final SecureRandom RANDOM = new SecureRandom();

	private final VmIdentity identity;

	private final MessageCodec codec;

	FleetKeyHandshake(VmIdentity identity, MessageCodec codec) {
		this.identity = identity;
		this.codec = codec;
	}

	/**
	 * Runs the handshake on the side that opened the connection. This side sends its
	 * proof first, so that the accepting side discloses no proof to an unauthenticated
	 * peer.
	 * @param connection the connection
	 * @return name and address of the peer
	 * @throws IOException if the connection broke or the peer has another key
	 */
	Hello connect(FrameConnection connection) throws IOException {
		Hello own = hello();
		send(connection, own);
		Hello peer = receive(connection, Hello.class);
		send(connection, new HelloProof(proof("connector", own, peer)));
		verify(receive(connection, HelloProof.class), proof("acceptor", own, peer), peer);
		return peer;
	}

	/**
	 * Runs the handshake on the side that accepted the connection.
	 * @param connection the connection
	 * @return name and address of the peer
	 * @throws IOException if the connection broke or the peer has another key
	 */
	Hello accept(FrameConnection connection) throws IOException {
		Hello peer = receive(connection, Hello.class);
		Hello own = hello();
		send(connection, own);
		verify(receive(connection, HelloProof.class), proof("connector", peer, own), peer);
		send(connection, new HelloProof(proof("acceptor", peer, own)));
		return peer;
	}

	private Hello hello() {
		byte[] nonce = new byte[NONCE_BYTES];
		RANDOM.nextBytes(nonce);
		return new Hello(this.identity.vm().name(), this.identity.address(), HexFormat.of().formatHex(nonce));
	}

	private void verify(HelloProof received, String expected, Hello peer) throws HandshakeException {
		if (!MessageDigest.isEqual(received.hmac().getBytes(StandardCharsets.UTF_8),
				expected.getBytes(StandardCharsets.UTF_8))) {
			throw new HandshakeException("the peer's proof does not match the fleet key");
		}
		try {
			VmId.of(peer.vm());
		}
		catch (IllegalArgumentException ex) {
			throw new HandshakeException("the peer sent an invalid VM name");
		}
	}

	private String proof(String role, Hello connector, Hello acceptor) {
		try {
			Mac mac = Mac.getInstance(ALGORITHM);
			mac.init(new SecretKeySpec(this.identity.key(), ALGORITHM));
			String text = String.join("\n", role, connector.vm(), connector.address(), connector.nonce(), acceptor.vm(),
					acceptor.address(), acceptor.nonce());
			return HexFormat.of().formatHex(mac.doFinal(text.getBytes(StandardCharsets.UTF_8)));
		}
		catch (GeneralSecurityException ex) {
			throw new IllegalStateException("every Java runtime has " + ALGORITHM, ex);
		}
	}

	private void send(FrameConnection connection, Object payload) throws IOException {
		connection.send(this.codec.encode(new Message(Message.ONE_WAY, payload)));
	}

	private <T> T receive(FrameConnection connection, Class<T> type) throws IOException {
		byte[] frame = connection.receive();
		if (frame == null) {
			throw new HandshakeException("the peer closed the connection during the handshake");
		}
		Object payload = this.codec.decode(frame).payload();
		if (!type.isInstance(payload)) {
			throw new MalformedFrameException("unexpected message during the handshake", null);
		}
		return type.cast(payload);
	}

}
