/**
Replays recorded events against a state machine and formats its actions as a transcript.

A session is a list of events with their times. Between them the state machine is sent `timePassed` events whenever it
requests one, as a daemon would do. The transcript has one line for each event and action, and is stored in golden files.
*/
import type {Timestamp} from './types.js';

/** A state machine that handles events and returns actions, such as an entry or an agent. */
export type StateMachine<Event, Action> = Readonly<{
	step(event: Event, now: Timestamp): readonly Action[];
	/** Returns when the next `timePassed` event is due. */
	tryGetWakeAt(): Timestamp | undefined;
}>;

export type RecordedEvent<Event> = Readonly<{at: Timestamp; event: Event}>;

/** One step of a session: an event and the actions that it caused. */
export type SessionStep<Event, Action> = Readonly<{at: Timestamp; event: Event; actions: readonly Action[]}>;

type WakeEvent = Readonly<{kind: 'timePassed'}>;

/** Maximum number of `timePassed` events between two recorded events; a replay that exceeds it throws. */
const maximumWakeUps = 10_000;

/** Replays the events, and wakes the state machine when it is due until `endAt`. */
export function replaySession<Event, Action>(
	stateMachine: StateMachine<Event | WakeEvent, Action>,
	events: ReadonlyArray<RecordedEvent<Event>>,
	endAt: Timestamp,
): ReadonlyArray<SessionStep<Event | WakeEvent, Action>> {
	const steps: Array<SessionStep<Event | WakeEvent, Action>> = [];

	function performStep(event: Event | WakeEvent, at: Timestamp): void {
		steps.push({at, event, actions: stateMachine.step(event, at)});
	}

	function wakeStateMachine(until: Timestamp, from: Timestamp): void {
		let now = from;
		for (let wakeUps = 0; wakeUps < maximumWakeUps; wakeUps += 1) {
			const wakeAt = stateMachine.tryGetWakeAt();
			if (wakeAt === undefined || wakeAt > until) {
				return;
			}

			now = Math.max(now, wakeAt);
			performStep({kind: 'timePassed'}, now);
		}

		throw new Error(`the state machine made no progress: too many wake-ups up to ${now} ms`);
	}

	let now: Timestamp = 0;
	for (const {at, event} of events) {
		wakeStateMachine(at, now);
		performStep(event, at);
		now = at;
	}

	wakeStateMachine(endAt, now);
	return steps;
}

/** Formats `time > event` and `time < action` lines with JSON; omits `timePassed` events without actions. */
export function formatTranscript(steps: ReadonlyArray<SessionStep<Readonly<{kind: string}>, Readonly<{kind: string}>>>): string {
	const lines: string[] = [];
	for (const {at, event, actions} of steps) {
		if (event.kind === 'timePassed' && actions.length === 0) {
			continue;
		}

		lines.push(`${at} > ${JSON.stringify(event)}`, ...actions.map(action => `${at} < ${JSON.stringify(action)}`));
	}

	return `${lines.join('\n')}\n`;
}
