package org.banyanstile.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.ConduitReadableByteChannel;
import org.xnio.conduits.Conduits;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Passes on the bytes of a connection up to the first one that breaks the framing of its
 * response, and fails every later read.
 *
 * @author banyanstile contributors
 */
final class CheckedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final ResponseFraming framing;

	CheckedSource(StreamSourceConduit source, ResponseFraming framing) {
		super(source);
		this.framing = framing;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		requireValid();
		int from = target.position();
		int n = super.read(target);
		if (n <= 0) {
			return n;
		}
		int end = this.framing.accept(target, from, from + n);
		target.position(end);
		if (end == from) {
			requireValid();
		}
		return end - from;
	}

	private void requireValid() throws FramingException {
		FramingFault fault = this.framing.fault();
		if (fault != null) {
			throw new FramingException(fault);
		}
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		for (int i = offset; i < offset + length; i++) {
			if (targets[i].hasRemaining()) {
				return read(targets[i]);
			}
		}
		return 0;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		return target.transferFrom(new ConduitReadableByteChannel(this), position, count);
	}

	@Override
	public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target) throws IOException {
		return Conduits.transfer(this, count, buffer, target);
	}

	@Override
	public void resumeReads() {
		// The socket may have no more bytes, so it would not report the fault.
		if (this.framing.fault() != null) {
			super.wakeupReads();
			return;
		}
		super.resumeReads();
	}

}
