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

	private final Consumer<IOException> failed;

	private boolean shutDown;

	private volatile boolean written;

	RequestWriter(byte[] body, Consumer<IOException> failed) {
		this.body = ByteBuffer.wrap(body);
		this.failed = failed;
	}

	/**
	 * Returns whether the request was sent whole. A connection on which the rest of a
	 * request is due must not carry another one.
	 * @return whether it was
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
			this.failed.accept(ex);
		}
		catch (RuntimeException ex) {
			this.failed.accept(new IOException("the request could not be written", ex));
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
			// The client detaches the channel as soon as the request is sent. If the
			// connection broke instead, the response fails.
			return true;
		}
	}

}
