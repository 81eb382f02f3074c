/**
Replays a recorded session against a machine, and writes down all that it did.

A session is a list of events with their times. Between them the machine is woken whenever it asks for it, as a daemon
would do. The transcript has a line for each event and each action; it is what golden files hold.
*/
import type {Timestamp} from './types.js';

/** A machine that takes events and returns actions, such as an entry or an agent. */
export type Machine<Event, Action> = Readonly<{
	step(event: Event, now: Timestamp): readonly Action[];
	/** Returns when the machine wants to be woken next. */
	tryGetWakeAt(): Timestamp | undefined;
}>;

export type RecordedEvent<Event> = Readonly<{at: Timestamp; event: Event}>;

/** One step of a session: what the machine heard, and what it did. */
export type SessionStep<Event, Action> = Readonly<{at: Timestamp; event: Event; actions: readonly Action[]}>;

type WakeEvent = Readonly<{kind: 'timePassed'}>;

/** Wakes that are allowed between two events before the machine counts as stuck. */
const maximumWakes = 10_000;

/** Replays the events, and wakes the machine in between and until `endAt`. */
export function replaySession<Event, Action>(
	machine: Machine<Event | WakeEvent, Action>,
	events: ReadonlyArray<RecordedEvent<Event>>,
	endAt: Timestamp,
): ReadonlyArray<SessionStep<Event | WakeEvent, Action>> {
	const steps: Array<SessionStep<Event | WakeEvent, Action>> = [];

	function take(event: Event | WakeEvent, at: Timestamp): void {
		steps.push({at, event, actions: machine.step(event, at)});
	}

	function wakeUntil(end: Timestamp, from: Timestamp): void {
		let now = from;
		for (let wakes = 0; wakes < maximumWakes; wakes += 1) {
			const wakeAt = machine.tryGetWakeAt();
			if (wakeAt === undefined || wakeAt > end) {
				return;
			}

			now = Math.max(now, wakeAt);
			take({kind: 'timePassed'}, now);
		}

		throw new Error(`the machine wants to be woken without end at ${now}`);
	}

	let now: Timestamp = 0;
	for (const {at, event} of events) {
		wakeUntil(at, now);
		take(event, at);
		now = at;
	}

	wakeUntil(endAt, now);
	return steps;
}

/** Returns a transcript: `time > event` and `time < action`, each as JSON; wakes without actions are left out. */
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
