package org.banyanstile.io.http;

import java.net.SocketAddress;
import java.util.concurrent.TimeUnit;

import org.xnio.ChannelListener;
import org.xnio.IoFuture;
import org.xnio.OptionMap;
import org.xnio.StreamConnection;
import org.xnio.XnioIoThread;
import org.xnio.conduits.ConduitStreamSourceChannel;

/**
 * Opens a connection on another I/O thread, counts the bytes that it receives and checks
 * their framing. Undertow's client opens its sockets itself and offers no other place
 * below its parser. This thread never runs.
 *
 * @author banyanstile contributors
 */
final class CountingIoThread extends XnioIoThread {

	private final XnioIoThread thread;

	private final ResponseOverhead overhead;

	private final ResponseFraming framing;

	CountingIoThread(XnioIoThread thread, ResponseOverhead overhead, ResponseFraming framing) {
		super(thread.getWorker(), thread.getNumber());
		this.thread = thread;
		this.overhead = overhead;
		this.framing = framing;
	}

	@Override
	public IoFuture<StreamConnection> openStreamConnection(SocketAddress destination,
			ChannelListener<? super StreamConnection> listener, OptionMap options) {
		return this.thread.openStreamConnection(destination, (connection) -> {
			ConduitStreamSourceChannel source = connection.getSourceChannel();
			CountedSource counted = new CountedSource(source.getConduit(), this.overhead);
			source.setConduit(new CheckedSource(counted, this.framing));
			listener.handleEvent(connection);
		}, options);
	}

	@Override
	public void execute(Runnable task) {
		this.thread.execute(task);
	}

	@Override
	public Key executeAfter(Runnable task, long time, TimeUnit unit) {
		return this.thread.executeAfter(task, time, unit);
	}

	@Override
	public Key executeAtInterval(Runnable task, long time, TimeUnit unit) {
		return this.thread.executeAtInterval(task, time, unit);
	}

}
