package org.banyanstile.io.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;

import org.xnio.channels.StreamSinkChannel;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Counts the bytes that a connection receives.
 *
 * @author banyanstile contributors
 */
final class CountedSource extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final ResponseOverhead overhead;

	CountedSource(StreamSourceConduit source, ResponseOverhead overhead) {
		super(source);
		this.overhead = overhead;
	}

	@Override
	public int read(ByteBuffer target) throws IOException {
		int n = super.read(target);
		this.overhead.received(n);
		return n;
	}

	@Override
	public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
		long n = super.read(targets, offset, length);
		this.overhead.received(n);
		return n;
	}

	@Override
	public long transferTo(long position, long count, FileChannel target) throws IOException {
		long n = super.transferTo(position, count, target);
		this.overhead.received(n);
		return n;
	}

	@Override
	public long transferTo(long count, ByteBuffer buffer, StreamSinkChannel target) throws IOException {
		int before = buffer.position();
		long n = super.transferTo(count, buffer, target);
		this.overhead.received(Math.max(n, 0) + Math.max(0, buffer.position() - before));
		return n;
	}

}
