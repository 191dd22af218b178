package org.banyanstile.io.frame;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

import com.fasterxml.jackson.annotation.JsonFormat;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.jackson.dataformat.MessagePackMapper;

/**
 * Converts records to MessagePack arrays
 * {@code [protocolVersion, type, correlationId, payload]} and back. The payload is the
 * array of the record's components. Safe for use by several threads.
 *
 * @author banyanstile contributors
 */
public final class MessageCodec {

	/**
	 * Version of the protocol. A frame with another version is malformed.
	 */
	public static final int PROTOCOL_VERSION = 1;

	private static final int ENVELOPE_ELEMENTS = 4;

	private final Map<String, Class<? extends Record>> types = new ConcurrentHashMap<>();

	private final ObjectMapper mapper = new MessagePackMapper();

	private MessageCodec() {
	}

	/**
	 * Creates a codec without registered types.
	 * @return the codec
	 */
	public static MessageCodec create() {
		return new MessageCodec();
	}

	/**
	 * Registers a message type under its simple name. All types must be registered before
	 * the first message is converted.
	 * @param type the record type
	 * @return this codec
	 */
	public MessageCodec register(Class<? extends Record> type) {
		Class<?> other = this.types.putIfAbsent(type.getSimpleName(), type);
		if (other != null && other != type) {
			throw new IllegalArgumentException("duplicate message type name: " + type.getSimpleName());
		}
		return registerNested(type);
	}

	/**
	 * Registers a record type that occurs only inside messages.
	 * @param type the record type
	 * @return this codec
	 */
	public MessageCodec registerNested(Class<? extends Record> type) {
		this.mapper.configOverride(type).setFormat(JsonFormat.Value.forShape(JsonFormat.Shape.ARRAY));
		return this;
	}

	/**
	 * Encodes a message.
	 * @param message the message
	 * @return content of the frame
	 * @throws IOException if the payload cannot be encoded
	 */
	public byte[] encode(Message message) throws IOException {
		String type = message.payload().getClass().getSimpleName();
		if (this.types.get(type) != message.payload().getClass()) {
			throw new IllegalArgumentException("message type " + type + " is not registered");
		}
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try (MessagePacker packer = MessagePack.newDefaultPacker(out)) {
			packer.packArrayHeader(ENVELOPE_ELEMENTS);
			packer.packInt(PROTOCOL_VERSION);
			packer.packString(type);
			packer.packLong(message.correlationId());
			packer.flush();
			out.write(this.mapper.writeValueAsBytes(message.payload()));
		}
		return out.toByteArray();
	}

	/**
	 * Decodes the content of a frame.
	 * @param frame the content
	 * @return the message
	 * @throws MalformedFrameException if it is not a message of a registered type
	 */
	public Message decode(byte[] frame) throws MalformedFrameException {
		try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
			if (unpacker.unpackArrayHeader() != ENVELOPE_ELEMENTS) {
				throw new MalformedFrameException("the frame is not an array of " + ENVELOPE_ELEMENTS + " elements",
						null);
			}
			int version = unpacker.unpackInt();
			if (version != PROTOCOL_VERSION) {
				throw new MalformedFrameException("protocol version " + version + " is not supported", null);
			}
			String name = unpacker.unpackString();
			Class<? extends Record> type = this.types.get(name);
			if (type == null) {
				throw new MalformedFrameException("unknown message type", null);
			}
			long correlationId = unpacker.unpackLong();
			int offset = (int) unpacker.getTotalReadBytes();
			Record payload = this.mapper.readValue(frame, offset, frame.length - offset, type);
			if (payload == null) {
				throw new MalformedFrameException("message " + name + " has no payload", null);
			}
			return new Message(correlationId, payload);
		}
		catch (MalformedFrameException ex) {
			throw ex;
		}
		catch (IOException | MessagePackException | IllegalArgumentException ex) {
			throw new MalformedFrameException("malformed message", ex);
		}
	}

}
