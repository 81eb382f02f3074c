#!/usr/bin/env node
/**
Demo: starts three data centres on loopback, applies a ticket, sends requests and checks each response.

With `--keep` the system stays up after the checks, and example requests are printed.
*/
import {writeFileSync} from 'node:fs';
import path from 'node:path';
import process from 'node:process';
import {getAnswerTokens, getTokenCount} from './answer-text.js';
import {callService, streamChat} from './caller-client.js';
import {demoKey, getDemoTicket} from './demo-ticket.js';
import {sendJsonRequest, startDeployment, type Deployment} from './deployment.js';

type ResultRow = Readonly<{
	request: string;
	entry: string;
	server: string;
	tokens: string;
	firstTokenMs: string;
	totalMs: string;
	ran: string;
	isCorrect: boolean;
}>;

type PromptCall = Readonly<{name: string; prompt: string; maximumTokens: number}>;

const shortPrompt = 'May a skipper change the sail after the first heat? Answer by the rules of the club.';
const reservationBody = JSON.stringify({slot: '2026-06-14 10:30', club: 'Rivebasse', boat: 'CAN 21'});
const shortPromptAnswerTokens = 24;
const longPromptAnswerTokens = 12;
const longPromptCharacters = 440_000;
const dataCentres = ['qc-a', 'qc-b', 'qc-c'] as const;

function print(text: string): void {
	process.stdout.write(text);
}

function getLongPrompt(): string {
	const line = 'Season 2025, heat 3: boat 14 rounded the north buoy before boat 9 and protested at the finish.\n';
	return `Summarise the archive.\n${line.repeat(Math.ceil(longPromptCharacters / line.length))}`;
}

function getCallerUrl(deployment: Deployment, index: number): string {
	return deployment.getEntries()[index]?.callerUrl ?? '';
}

function getEntryName(deployment: Deployment, index: number): string {
	return deployment.getEntries()[index]?.name ?? '';
}

async function applyTicket(deployment: Deployment): Promise<void> {
	const file = path.join(deployment.directory, 'ticket-1.json');
	writeFileSync(file, JSON.stringify(getDemoTicket(1)));
	const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
	const result = await deployment.runCommand(['ticket', 'apply', file, '--wait', '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
	print(`$ currantcross ticket apply ticket-1.json --wait\n${result.stdout}${result.stderr}\n`);
	if (result.exitCode !== 0) {
		throw new Error('the command `ticket apply` failed');
	}
}

/** Prints the burn rate of the service-level objectives; the long prompt misses the first-token objective of its route. */
async function printBurnReport(deployment: Deployment): Promise<void> {
	const operatorUrl = deployment.getEntries()[0]?.operatorUrl ?? '';
	const result = await deployment.runCommand(['report', 'burn', '--operator', operatorUrl, '--key-file', deployment.operatorKeyFile]);
	print(`$ currantcross report burn\n${result.stdout}${result.stderr}\n`);
}

async function askPrompt(deployment: Deployment, index: number, call: PromptCall): Promise<ResultRow> {
	const {name, prompt, maximumTokens} = call;
	const outcome = await streamChat({
		callerUrl: getCallerUrl(deployment, index),
		key: demoKey,
		route: 'rules-assistant',
		prompt,
		maximumTokens,
		onText(text) {
			print(`[${name}] ${text.trim()}\n`);
		},
	});
	const isCorrect = outcome.isComplete && outcome.text === getAnswerTokens(prompt, maximumTokens).join('');
	if (!isCorrect) {
		print(`[${name}] WRONG: ${JSON.stringify(outcome.error ?? outcome.text)}\n`);
	}

	return {
		request: name,
		entry: getEntryName(deployment, index),
		server: outcome.server ?? '-',
		tokens: `${getTokenCount(prompt)} + ${maximumTokens}`,
		firstTokenMs: outcome.firstTokenMs === undefined ? '-' : outcome.firstTokenMs.toFixed(0),
		totalMs: outcome.totalMs.toFixed(0),
		ran: outcome.isComplete ? 'yes' : (outcome.error?.ran ?? '-'),
		isCorrect,
	};
}

async function callStockLookup(deployment: Deployment): Promise<ResultRow> {
	const outcome = await callService({
		callerUrl: getCallerUrl(deployment, 2), key: demoKey, route: 'shop', method: 'GET', path: '/stock/bowl-17',
	});
	print(`[stock lookup] ${outcome.body}`);
	return {
		request: 'stock lookup',
		entry: getEntryName(deployment, 2),
		server: outcome.server ?? '-',
		tokens: '-',
		firstTokenMs: '-',
		totalMs: outcome.totalMs.toFixed(0),
		ran: 'yes',
		isCorrect: outcome.status === 200 && outcome.body.includes('"inStock":7'),
	};
}

async function callReservation(deployment: Deployment, index: number, name: string): Promise<ResultRow> {
	const outcome = await callService({
		callerUrl: getCallerUrl(deployment, index),
		key: demoKey,
		route: 'shop',
		method: 'POST',
		path: '/reservations',
		body: reservationBody,
		idempotencyKey: 'slot-2026-06-14-1030',
	});
	print(`[${name}] ${outcome.body}`);
	return {
		request: name,
		entry: getEntryName(deployment, index),
		server: outcome.server ?? '-',
		tokens: '-',
		firstTokenMs: '-',
		totalMs: outcome.totalMs.toFixed(0),
		ran: outcome.isReplay ? 'yes, before' : (outcome.error?.ran ?? 'yes'),
		isCorrect: outcome.status === 201 && outcome.body.includes('"run":1'),
	};
}

/** Returns how often the reservation ran, summed over all business servers. */
async function countRuns(deployment: Deployment): Promise<number> {
	const businessServers = deployment.getServers().filter(server => server.kind === 'business');
	const runsByServer = await Promise.all(businessServers.map(async server => sendJsonRequest<Readonly<Record<string, number>>>('GET', `${server.serverUrl}/runs`)));
	return runsByServer.flatMap(runs => Object.values(runs)).reduce((sum, run) => sum + run, 0);
}

function printTable(rows: readonly ResultRow[]): void {
	const headings = ['request', 'entry', 'server', 'tokens', 'first token ms', 'total ms', 'ran', 'correct'];
	const cells = rows.map(row => [row.request, row.entry, row.server, row.tokens, row.firstTokenMs, row.totalMs, row.ran, row.isCorrect ? 'yes' : 'NO']);
	const widths = headings.map((heading, column) => Math.max(heading.length, ...cells.map(row => row[column]?.length ?? 0)));
	for (const row of [headings, ...cells]) {
		print(`${row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join('  ').trimEnd()}\n`);
	}
}

function printUsageExamples(deployment: Deployment): void {
	print([
		'',
		'The system is up; end it with Ctrl+C. A streamed answer:',
		`  curl -N ${getCallerUrl(deployment, 0)}/v1/chat/completions -H 'authorization: Bearer ${demoKey}' \\`,
		'    -d \'{"model":"rules-assistant","stream":true,"messages":[{"role":"user","content":"Who has right of way?"}]}\'',
		'A reservation:',
		`  curl ${getCallerUrl(deployment, 1)}/v1/services/shop/reservations -H 'authorization: Bearer ${demoKey}' -H 'idempotency-key: my-key-1' -d '{"slot":"10:30"}'`,
		`Logs and settings: ${deployment.directory}`,
		'',
	].join('\n'));
}

async function sendRequests(deployment: Deployment): Promise<boolean> {
	const longPromptRow = askPrompt(deployment, 1, {name: 'long prompt', prompt: getLongPrompt(), maximumTokens: longPromptAnswerTokens});
	const shortPromptRow = askPrompt(deployment, 0, {name: 'short prompt', prompt: shortPrompt, maximumTokens: shortPromptAnswerTokens});
	const rows = [
		await shortPromptRow,
		await callStockLookup(deployment),
		await callReservation(deployment, 0, 'reservation'),
		await callReservation(deployment, 1, 'same key again'),
		await longPromptRow,
	];
	const runCount = await countRuns(deployment);
	print('\n');
	await printBurnReport(deployment);
	printTable(rows);
	print(`the reservation ran ${runCount} time(s)\n`);
	return runCount === 1 && rows.every(row => row.isCorrect);
}

async function waitUntilInterrupted(): Promise<void> {
	await new Promise<void>(resolve => {
		const keepAliveTimer = setInterval(() => undefined, 60_000);
		process.once('SIGINT', () => {
			clearInterval(keepAliveTimer);
			resolve();
		});
	});
}

const deployment = await startDeployment({
	dataCentres, modelServersPerDataCentre: 2, businessServersPerDataCentre: 1, timeScale: 0.5, drainLagMs: 0,
});
try {
	await applyTicket(deployment);
	process.exitCode = await sendRequests(deployment) ? 0 : 1;
	if (process.argv.includes('--keep')) {
		printUsageExamples(deployment);
		await waitUntilInterrupted();
	}
} finally {
	await deployment.stop();
}
