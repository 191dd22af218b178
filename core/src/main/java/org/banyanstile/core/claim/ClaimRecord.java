package org.banyanstile.core.claim;

import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;

import org.banyanstile.core.common.VmId;
import org.banyanstile.core.store.Fields;
import org.banyanstile.core.store.Row;
import org.banyanstile.core.store.RowCodec;
import org.jspecify.annotations.Nullable;

/**
 * Content of a claim row.
 *
 * @param state state of the claim
 * @param holder VM that claimed the call last
 * @param attempt number of the attempt, from 1
 * @param claimId identifier of the write that claimed the call; later writes keep it
 * @param bodyHash hash of method, path and body
 * @param status status code of the response, 0 if there is none
 * @param contentType media type of the response, or {@code null}
 * @param body body of the response, empty if there is none
 * @author banyanstile contributors
 */
public record ClaimRecord(ClaimState state, ClaimHolder holder, long attempt, String claimId, String bodyHash,
		int status, @Nullable String contentType, String body) {

	static ClaimRecord claimed(ClaimHolder holder, long attempt, String claimId, String bodyHash) {
		return new ClaimRecord(ClaimState.CLAIMED, holder, attempt, claimId, bodyHash, 0, null, "");
	}

	ClaimRecord with(ClaimState state) {
		return new ClaimRecord(state, this.holder, this.attempt, this.claimId, this.bodyHash, 0, null, "");
	}

	ClaimRecord with(ClaimOutcome outcome) {
		if (outcome instanceof ClaimOutcome.Answered answered) {
			return new ClaimRecord(ClaimState.ANSWERED, this.holder, this.attempt, this.claimId, this.bodyHash,
					answered.status(), answered.contentType(), answered.body());
		}
		if (outcome instanceof ClaimOutcome.RefusedByEndpoint refused) {
			return new ClaimRecord(ClaimState.REFUSED, this.holder, this.attempt, this.claimId, this.bodyHash,
					refused.status(), refused.contentType(), refused.body());
		}
		return with((outcome instanceof ClaimOutcome.NotRun) ? ClaimState.VOID : ClaimState.UNKNOWN);
	}

	/**
	 * Returns the outcome that the row records.
	 * @return the outcome, or {@code null} while the call may run or can be claimed
	 */
	public @Nullable ClaimOutcome outcome() {
		return switch (this.state) {
			case ANSWERED -> new ClaimOutcome.Answered(this.status, this.contentType, this.body);
			case REFUSED -> new ClaimOutcome.RefusedByEndpoint(this.status, this.contentType, this.body);
			case UNKNOWN -> new ClaimOutcome.OutcomeUnknown();
			case CLAIMED, VOID -> null;
		};
	}

	static ClaimRecord decode(Row row, RowCodec codec) {
		Fields fields = Fields.of(row, codec);
		ClaimHolder holder = new ClaimHolder(VmId.of(fields.text("vm")), (int) fields.number("slot"),
				fields.number("epoch"));
		String contentType = fields.text("contentType");
		return new ClaimRecord(ClaimState.valueOf(fields.text("state").toUpperCase(Locale.ROOT)), holder,
				fields.number("attempt"), fields.text("claimId"), fields.text("bodyHash"),
				(int) fields.number("status"), contentType.isEmpty() ? null : contentType, fields.text("body"));
	}

	String encode(RowCodec codec) {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("state", this.state.name().toLowerCase(Locale.ROOT));
		fields.put("vm", this.holder.vm().name());
		fields.put("slot", this.holder.slot());
		fields.put("epoch", this.holder.epoch());
		fields.put("attempt", this.attempt);
		fields.put("claimId", this.claimId);
		fields.put("bodyHash", this.bodyHash);
		fields.put("status", this.status);
		fields.put("contentType", (this.contentType != null) ? this.contentType : "");
		fields.put("body", this.body);
		return codec.encode(fields);
	}

}
