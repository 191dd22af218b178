/** Starts daemon threads whose errors end only that thread. */
final class Threads {

	interface Body {

		void run() throws Exception;

	}

	private Threads() {
	}

	static Thread start(String name, Body body) {
		Thread thread = new Thread(() -> {
			try {
				body.run();
			}
			catch (Exception ex) {
				// The peer closed its connection, or the test ended.
			}
		}, name);
		thread.setDaemon(true);
		thread.start();
		return thread;
	}

	static void pause(long millis) {
		try {
			Thread.sleep(Math.max(0, millis));
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

}
