/**
The answers of the model-server stand-in: a function of the prompt alone, so that a test knows what a whole answer is.
*/
import {createHash} from 'node:crypto';

const words = ['buoy', 'keel', 'glaze', 'kiln', 'heat', 'slot', 'crack', 'sail', 'batch', 'pond', 'rudder', 'saucer'] as const;

const charactersPerToken = 4;

/** Returns the token count that the stand-in bills for a text. */
export function getTokenCount(text: string): number {
	return Math.max(1, Math.ceil(text.length / charactersPerToken));
}

/** Returns the tokens that answer a prompt. */
export function getAnswerTokens(prompt: string, maximumTokens: number): readonly string[] {
	const digest = createHash('sha256').update(prompt).digest();
	return Array.from({length: maximumTokens}, (_, index) => {
		const byte = digest[index % digest.length] ?? 0;
		return `${words[(byte + index) % words.length] ?? 'buoy'}${index} `;
	});
}
