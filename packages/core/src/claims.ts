/**
Claims of idempotency keys: which attempt may run a non-idempotent call, and with which outcome it ended.

The claims are a fold over the records of a replicated log. The first claim of a key wins. It names the attempt, the
server and the permit of the server's agent. A claim moves to another attempt only by a record that names the attempt it
replaces; before that, its writer makes sure that the replaced attempt never runs, for example by voiding it at the agent.
An outcome is never replaced.
*/
import type {
	AttemptId, Permit, ServerName, ServiceAnswer,
} from './types.js';

/** The stored outcome of a call. `unknown` is final: it can't be determined whether the call ran. */
export type ClaimOutcome
	= | Readonly<{kind: 'answered'; answer: ServiceAnswer}>
		| Readonly<{kind: 'unknown'}>;

/** The attempt that holds a claim, and where it runs. */
export type ClaimHolder = Readonly<{
	attemptId: AttemptId;
	server: ServerName;
	/** The permit of the attempt. It identifies the agent's incarnation and bounds how long the agent remembers the attempt. */
	permit: Permit;
}>;

export type ClaimRecord
	= | Readonly<{kind: 'claimed'; key: string; bodyHash: string; holder: ClaimHolder}>
		| Readonly<{kind: 'moved'; key: string; fromAttemptId: AttemptId; holder: ClaimHolder}>
		| Readonly<{kind: 'ended'; key: string; attemptId: AttemptId; outcome: ClaimOutcome}>;

/** The state of one claimed key. */
export type Claim = Readonly<{
	bodyHash: string;
	holder: ClaimHolder;
	outcome: ClaimOutcome | undefined;
}>;

export type Claims = Readonly<{
	/** Applies one record and returns the resulting claim of its key. */
	applyRecord(record: ClaimRecord): Claim | undefined;
	tryGetClaim(key: string): Claim | undefined;
	getSize(): number;
}>;

/** Creates an empty set of claims. */
export function createClaims(): Claims {
	const claims = new Map<string, Claim>();

	function getNextClaim(current: Claim | undefined, record: ClaimRecord): Claim | undefined {
		switch (record.kind) {
			case 'claimed': {
				return current ?? {bodyHash: record.bodyHash, holder: record.holder, outcome: undefined};
			}

			case 'moved': {
				const canMove = current?.outcome === undefined && current?.holder.attemptId === record.fromAttemptId;
				return canMove ? {...current, holder: record.holder} : current;
			}

			case 'ended': {
				const canEnd = current?.outcome === undefined && current?.holder.attemptId === record.attemptId;
				return canEnd ? {...current, outcome: record.outcome} : current;
			}
		}
	}

	return {
		applyRecord(record) {
			const claim = getNextClaim(claims.get(record.key), record);
			if (claim !== undefined) {
				claims.set(record.key, claim);
			}

			return claim;
		},
		tryGetClaim: key => claims.get(key),
		getSize: () => claims.size,
	};
}
