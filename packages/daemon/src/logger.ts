/**
Logs: one line of key=value pairs for each event. Never a key, a prompt or a body.
*/
import process from 'node:process';
import winston from 'winston';
import {createLogLimiter} from './log-limiter.js';

/** The events that are logged. */
export type LogEventName
	= | 'started' | 'stopping' | 'stopped' | 'requestEnded' | 'attemptStarted' | 'attemptEnded' | 'streamBroken'
		| 'hostListFailed' | 'configurationInForce' | 'configurationRead' | 'probeFailed' | 'serverFailed' | 'orderSent' | 'internalError'
		| 'requestPlaced' | 'sendEnded' | 'requestRefused' | 'endpointChanged' | 'dependencyLost' | 'dependencyRegained'
		| 'settingsReloaded' | 'settingsRefused' | 'clockJumped' | 'peerFound' | 'peerLost' | 'readinessChanged' | 'linesDropped'
		| 'orderRefused' | 'orderFailed';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type Logger = Readonly<{
	debug(event: LogEventName, fields?: LogFields): void;
	info(event: LogEventName, fields?: LogFields): void;
	warn(event: LogEventName, fields?: LogFields): void;
	error(event: LogEventName, fields?: LogFields): void;
}>;

const plainValuePattern = /^[^\s"'=\\]+$/v;

/** Returns a value as it stands in a line: bare where it is one plain word, else as a JSON string. */
export function formatLogValue(value: string | number | boolean): string {
	const text = String(value);
	return plainValuePattern.test(text) ? text : JSON.stringify(text);
}

/** Returns one line of key=value pairs; fields without a value are left out. */
export function formatLogLine(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			pairs.push(`${key}=${formatLogValue(value)}`);
		}
	}

	return pairs.join(' ');
}

/** Lines of one event that may be written in a second; more than a host of the usual size handles requests. */
const linesPerSecond = 300;

/** How often lines that were left out are counted in a line of their own. */
const droppedReportMs = 5000;

/** Bytes that may wait for a slow reader of standard output before lines are left out. */
const maximumWaitingBytes = 1_048_576;

/**
Creates a logger that writes to standard output and never waits: past a rate for each event, or while the reader is slow,
lines are left out and counted.
*/
export function createBoundedLogger(level: string, common: LogFields): Logger {
	const logger = createStreamLogger(level, []);
	const limiter = createLogLimiter(linesPerSecond);

	function write(lineLevel: LogLevel, event: LogEventName, fields: LogFields = {}): void {
		const isSlow = process.stdout.writableLength > maximumWaitingBytes;
		if (logger.isLevelEnabled(lineLevel) && !isSlow && limiter.tryTake(event, performance.now())) {
			writeLine(logger, lineLevel, event, {...common, ...fields});
		}
	}

	setInterval(() => {
		for (const [event, lines] of limiter.takeDropped()) {
			write('warn', 'linesDropped', {of: event, lines});
		}
	}, droppedReportMs).unref();
	return createLevels(write);
}

type LogLevel = 'debug' | 'info' | 'warn' | 'error';

function createStreamLogger(level: string, stderrLevels: readonly LogLevel[]): winston.Logger {
	return winston.createLogger({
		level,
		format: winston.format.printf(({message}) => String(message)),
		transports: [new winston.transports.Console({stderrLevels: [...stderrLevels]})],
	});
}

function writeLine(logger: winston.Logger, level: LogLevel, event: LogEventName, fields: LogFields): void {
	logger.log(level, formatLogLine({
		time: new Date().toISOString(), level, event, ...fields,
	}));
}

/** Creates a logger that writes to standard error. */
export function createLogger(level: string, common: LogFields): Logger {
	const logger = createStreamLogger(level, ['error', 'warn', 'info', 'debug']);
	return createLevels((lineLevel, event, fields) => {
		if (logger.isLevelEnabled(lineLevel)) {
			writeLine(logger, lineLevel, event, {...common, ...fields});
		}
	});
}

function createLevels(write: (level: LogLevel, event: LogEventName, fields?: LogFields) => void): Logger {
	return {
		debug(event, fields) {
			write('debug', event, fields);
		},
		info(event, fields) {
			write('info', event, fields);
		},
		warn(event, fields) {
			write('warn', event, fields);
		},
		error(event, fields) {
			write('error', event, fields);
		},
	};
}
