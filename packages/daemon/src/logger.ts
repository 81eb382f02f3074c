/**
Loggers that write each event as one line of key=value pairs.

Secret keys, prompts and request bodies must never be logged.
*/
import process from 'node:process';
import winston from 'winston';
import {createLogLimiter} from './log-limiter.js';

/** The events that are logged. */
export type LogEventName
	= | 'started' | 'stopping' | 'stopped' | 'requestEnded' | 'attemptStarted' | 'attemptEnded' | 'streamBroken'
		| 'hostListFailed' | 'configurationInForce' | 'configurationOutdated' | 'storeRestored' | 'storeUnsettled' | 'gatewaysListed' | 'configurationRead' | 'probeFailed' | 'silenceChecked' | 'serverFailed' | 'orderSent' | 'internalError'
		| 'requestPlaced' | 'requestDeferred' | 'sendEnded' | 'requestRefused' | 'endpointChanged' | 'evacuationsChanged' | 'dependencyLost' | 'dependencyRegained'
		| 'settingsReloaded' | 'settingsRefused' | 'clockJumped' | 'callersBounded' | 'peerFound' | 'peerLost' | 'readinessChanged' | 'linesDropped'
		| 'orderRefused' | 'orderFailed' | 'serverCrashed' | 'segmentQuarantined' | 'segmentReleased' | 'segmentTried'
		| 'quarantineNotRecorded' | 'crashesNotRecorded' | 'quarantineNotRemoved' | 'limitChanged' | 'paceObserved' | 'endpointCold' | 'endpointWarm'
		| 'feedSourceChanged' | 'readerLost' | 'followerLost' | 'readerStateRefused' | 'entryUnusable' | 'loopStalled' | 'acceptDelayed' | 'acceptProbeFailed' | 'requestDropped' | 'requestHeld' | 'sendDelayed'
		| 'responsePaused' | 'responseFragmented';

export type LogFields = Readonly<Record<string, string | number | boolean | undefined>>;

export type Logger = Readonly<{
	debug(event: LogEventName, fields?: LogFields): void;
	info(event: LogEventName, fields?: LogFields): void;
	warn(event: LogEventName, fields?: LogFields): void;
	error(event: LogEventName, fields?: LogFields): void;
}>;

const plainValuePattern = /^[^\s"'=\\]+$/v;

/** Formats a value: unquoted unless it is empty or has whitespace, quotes, `=` or backslashes; otherwise as a JSON string. */
export function formatLogValue(value: string | number | boolean): string {
	const text = String(value);
	return plainValuePattern.test(text) ? text : JSON.stringify(text);
}

/** Formats fields as one line of key=value pairs; undefined values are omitted. */
export function formatLogLine(fields: LogFields): string {
	const pairs: string[] = [];
	for (const [key, value] of Object.entries(fields)) {
		if (value !== undefined) {
			pairs.push(`${key}=${formatLogValue(value)}`);
		}
	}

	return pairs.join(' ');
}

/** Maximum number of lines a second for one event. A host of the usual size handles fewer requests a second than this. */
const maximumLinesPerSecond = 300;

/** Interval at which the number of dropped lines is logged. */
const droppedReportIntervalMs = 5000;

/** Bytes that standard output may buffer for a slow reader before lines are dropped. */
const maximumBufferedBytes = 1_048_576;

/**
Creates a logger that writes to standard output and never blocks: lines beyond the rate limit of their event are dropped
and counted, and lines are dropped while the reader of standard output is too slow.
*/
export function createRateLimitedLogger(level: string, commonFields: LogFields): Logger {
	const logger = createConsoleLogger(level, []);
	const limiter = createLogLimiter(maximumLinesPerSecond);

	function write(lineLevel: LogLevel, event: LogEventName, fields: LogFields = {}): void {
		const isReaderSlow = process.stdout.writableLength > maximumBufferedBytes;
		if (logger.isLevelEnabled(lineLevel) && !isReaderSlow && limiter.tryTake(event, performance.now())) {
			writeLine(logger, lineLevel, event, {...commonFields, ...fields});
		}
	}

	setInterval(() => {
		for (const [event, lines] of limiter.takeDroppedCounts()) {
			write('warn', 'linesDropped', {of: event, lines});
		}
	}, droppedReportIntervalMs).unref();
	return createLevelMethods(write);
}

type LogLevel = 'debug' | 'info' | 'warn' | 'error';

function createConsoleLogger(level: string, stderrLevels: readonly LogLevel[]): winston.Logger {
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
export function createLogger(level: string, commonFields: LogFields): Logger {
	const logger = createConsoleLogger(level, ['error', 'warn', 'info', 'debug']);
	return createLevelMethods((lineLevel, event, fields) => {
		if (logger.isLevelEnabled(lineLevel)) {
			writeLine(logger, lineLevel, event, {...commonFields, ...fields});
		}
	});
}

function createLevelMethods(write: (level: LogLevel, event: LogEventName, fields?: LogFields) => void): Logger {
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
