/**
Claims of idempotency keys: who may run a non-idempotent action, and what came of it.

The claims are a fold over a log. The first claim of a key holds. It names the attempt, the agent and the agent's
permit; a claim moves to a next attempt only by a record that names the attempt it replaces, which its writer had
voided at the agent. Once an outcome stands, it stands.
*/
import type {
	AttemptId, Permit, ServerName, ServiceAnswer,
} from './types.js';

/** What is kept of an action that ended. `unknown` means that nobody can know, and it is final. */
export type ClaimOutcome
	= | Readonly<{kind: 'answered'; answer: ServiceAnswer}>
		| Readonly<{kind: 'unknown'}>;

/** The holder of a claim. */
export type ClaimHolder = Readonly<{
	attemptId: AttemptId;
	server: ServerName;
	/** The permit with which the attempt was made; it names the agent's incarnation, and how long the agent remembers. */
	permit: Permit;
}>;

export type ClaimRecord
	= | Readonly<{kind: 'claimed'; key: string; bodyHash: string; holder: ClaimHolder}>
		| Readonly<{kind: 'moved'; key: string; fromAttemptId: AttemptId; holder: ClaimHolder}>
		| Readonly<{kind: 'ended'; key: string; attemptId: AttemptId; outcome: ClaimOutcome}>;

/** The state of one key. */
export type Claim = Readonly<{
	bodyHash: string;
	holder: ClaimHolder;
	outcome: ClaimOutcome | undefined;
}>;

export type Claims = Readonly<{
	/** Applies one record and returns the claim as it now stands. */
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
