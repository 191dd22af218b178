import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.locks.LockSupport;

/** A server with one thread for each connection. */
class Listener implements AutoCloseable {

	/** Handles one request on a connection. */
	interface Handler {

		/** Returns whether the connection stays open. */
		boolean handle(Http.Message request, Socket socket) throws Exception;

	}

	private static final int BACKLOG = 512;

	private static final int MAX_BIND_ATTEMPTS = 40;

	private final ServerSocket server;

	private final Handler handler;

	private final Set<Socket> open = ConcurrentHashMap.newKeySet();

	Listener(String ip, int port, Handler handler) throws IOException {
		this.server = bind(new InetSocketAddress(InetAddress.getByName(ip), port));
		this.handler = handler;
		thread("listener-" + address(), this::accept);
	}

	// An earlier listener of the same address may need a moment to end.
	private static ServerSocket bind(InetSocketAddress address) throws IOException {
		for (int attempt = 1;; attempt++) {
			ServerSocket server = new ServerSocket();
			try {
				server.setReuseAddress(true);
				server.bind(address, BACKLOG);
				return server;
			}
			catch (BindException ex) {
				server.close();
				if (attempt == MAX_BIND_ATTEMPTS) {
					throw ex;
				}
				LockSupport.parkNanos(50_000_000);
			}
		}
	}

	static Thread thread(String name, Runnable body) {
		Thread thread = new Thread(null, body, name, 256 * 1024);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	String address() {
		return this.server.getInetAddress().getHostAddress() + ':' + this.server.getLocalPort();
	}

	int port() {
		return this.server.getLocalPort();
	}

	private void accept() {
		while (!this.server.isClosed()) {
			try {
				Socket socket = this.server.accept();
				socket.setTcpNoDelay(true);
				this.open.add(socket);
				thread("connection", () -> serve(socket));
			}
			catch (IOException ex) {
				if (!this.server.isClosed()) {
					System.err.println("accept at " + address() + ": " + ex);
				}
			}
		}
	}

	private void serve(Socket socket) {
		try (socket) {
			BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
			Http.Message request = Http.read(in);
			while (request != null && this.handler.handle(request, socket)) {
				request = Http.read(in);
			}
		}
		catch (Exception ex) {
			// The peer closed the connection.
		}
		finally {
			this.open.remove(socket);
		}
	}

	/** Ends the server as a crash does: all connections are reset. */
	@Override
	public void close() {
		try {
			this.server.close();
			for (Socket socket : this.open) {
				socket.setSoLinger(true, 0);
				socket.close();
			}
		}
		catch (IOException ex) {
			System.err.println("close of " + address() + ": " + ex);
		}
	}

}
