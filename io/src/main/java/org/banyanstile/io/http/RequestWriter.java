package org.banyanstile.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.util.function.Consumer;

import org.xnio.ChannelListener;
import org.xnio.channels.StreamSinkChannel;

/**
 * Writes the body of a request. Runs on the I/O thread of the connection only, which
 * frees the connection's buffers when the peer closes it.
 *
 * @author banyanstile contributors
 */
final class RequestWriter implements ChannelListener<StreamSinkChannel> {

	private final ByteBuffer body;

	private final Consumer<IOException> onFailure;

	private boolean shutDown;

	private volatile boolean written;

	RequestWriter(byte[] body, Consumer<IOException> onFailure) {
		this.body = ByteBuffer.wrap(body);
		this.onFailure = onFailure;
	}

	/**
	 * Returns whether the whole request was sent. A connection with a partly sent request
	 * must not be reused.
	 * @return whether it was sent
	 */
	boolean isWritten() {
		return this.written;
	}

	void start(StreamSinkChannel channel) {
		channel.getWriteSetter().set(this);
		handleEvent(channel);
	}

	@Override
	public void handleEvent(StreamSinkChannel channel) {
		try {
			if (write(channel)) {
				this.written = true;
				channel.suspendWrites();
			}
			else {
				channel.resumeWrites();
			}
		}
		catch (IOException ex) {
			this.onFailure.accept(ex);
		}
		catch (RuntimeException ex) {
			this.onFailure.accept(new IOException("cannot write the request", ex));
		}
	}

	private boolean write(StreamSinkChannel channel) throws IOException {
		while (this.body.hasRemaining()) {
			if (channel.write(this.body) == 0) {
				return false;
			}
		}
		if (!this.shutDown) {
			this.shutDown = true;
			channel.shutdownWrites();
		}
		try {
			return channel.flush();
		}
		catch (ClosedChannelException ex) {
			// Undertow detaches the channel as soon as the request is sent. If the
			// connection broke instead, the response fails.
			return true;
		}
	}

}
