import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Connections of a client, kept for many requests. */
final class Caller {

	private static final int CONNECT_MILLIS = 1000;

	private final Map<String, Socket> kept = new LinkedHashMap<>();

	private final Map<Socket, InputStream> inputs = new LinkedHashMap<>();

	/** Asks a machine where to connect. */
	@SuppressWarnings("unchecked")
	static List<String> resolve(String ip) {
		try (Socket socket = new Socket()) {
			socket.connect(new InetSocketAddress(ip, 8220), CONNECT_MILLIS);
			socket.setSoTimeout(CONNECT_MILLIS);
			socket.getOutputStream()
				.write("GET /resolve?name=h&region=r&zone=z1 HTTP/1.1\r\nHost: d\r\nConnection: close\r\n\r\n".getBytes());
			Map<String, Object> body = (Map<String, Object>) Json
				.read(new String(Http.message(socket.getInputStream()).body()));
			List<String> addresses = new ArrayList<>();
			((List<Object>) body.get("addresses")).forEach((address) -> addresses.add((String) address));
			return addresses;
		}
		catch (IOException | RuntimeException ex) {
			return List.of();
		}
	}

	Socket connect(String address) throws IOException {
		int colon = address.lastIndexOf(':');
		Socket socket = new Socket();
		socket.setTcpNoDelay(true);
		socket.connect(new InetSocketAddress(address.substring(0, colon),
				Integer.parseInt(address.substring(colon + 1))), CONNECT_MILLIS);
		this.inputs.put(socket, new BufferedInputStream(socket.getInputStream()));
		return socket;
	}

	InputStream input(Socket socket) {
		return this.inputs.get(socket);
	}

	/** Sends a request on a kept or new connection and reads the whole answer. */
	Http.Message call(String address, String request, int timeoutMillis) throws IOException {
		Socket socket = this.kept.remove(address);
		if (socket == null) {
			socket = connect(address);
		}
		boolean complete = false;
		try {
			socket.setSoTimeout(timeoutMillis);
			socket.getOutputStream().write(request.getBytes());
			Http.Message answer = Http.message(input(socket));
			complete = !"close".equalsIgnoreCase(answer.header("connection"));
			return answer;
		}
		finally {
			if (complete) {
				this.kept.put(address, socket);
			}
			else {
				this.inputs.remove(socket);
				socket.close();
			}
		}
	}

}
