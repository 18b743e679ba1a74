import {statSync} from 'node:fs';

export type WatchSettingsOptions<Settings> = Readonly<{
	file: string;
	read: () => Settings;
	onChanged: (settings: Settings) => void;
	onFault: (err: unknown) => void;
}>;

/** The file may change without a signal; looking at its time of change costs one system call. */
const lookMs = 2000;

/** Reads the settings file again on SIGHUP and when the file has changed. */
export function watchSettings<Settings>({file, read, onChanged, onFault}: WatchSettingsOptions<Settings>): void {
	let modifiedAt = modificationTime(file);
	const readAgain = () => {
		modifiedAt = modificationTime(file);
		try {
			onChanged(read());
		} catch (err) {
			onFault(err);
		}
	};

	process.on('SIGHUP', readAgain);
	setInterval(() => {
		if (modificationTime(file) !== modifiedAt) {
			readAgain();
		}
	}, lookMs).unref();
}

/** Undefined while the file is missing, as it may be for a moment while it is replaced. */
function modificationTime(file: string): number | undefined {
	return statSync(file, {throwIfNoEntry: false})?.mtimeMs;
}
