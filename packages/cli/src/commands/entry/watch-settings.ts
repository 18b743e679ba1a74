import {statSync} from 'node:fs';

export type WatchSettingsOptions<Settings> = Readonly<{
	file: string;
	read: () => Settings;
	onChanged: (settings: Settings) => void;
	onError: (err: unknown) => void;
}>;

/** The file may change without a signal. Checking its modification time costs one system call. */
const pollIntervalMs = 2000;

/** Reloads the settings file on SIGHUP and when it has changed. */
export function watchSettings<Settings>({file, read, onChanged, onError}: WatchSettingsOptions<Settings>): void {
	let modifiedAt = modificationTime(file);
	const reloadSettings = () => {
		modifiedAt = modificationTime(file);
		try {
			onChanged(read());
		} catch (err) {
			onError(err);
		}
	};

	process.on('SIGHUP', reloadSettings);
	setInterval(() => {
		if (modificationTime(file) !== modifiedAt) {
			reloadSettings();
		}
	}, pollIntervalMs).unref();
}

/** Undefined if the file does not exist, which may briefly be so while it is replaced. */
function modificationTime(file: string): number | undefined {
	return statSync(file, {throwIfNoEntry: false})?.mtimeMs;
}
